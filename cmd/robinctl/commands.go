package main

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/operator"
)

// waitFlag is the flag of every command that changes the configuration.
type waitFlag struct {
	Wait bool `help:"Wait until the change is in force in every zone."`
}

// finish prints the changes and, if the flag is set, waits until the last one is in force. It prints
// completed changes even if a later one failed.
func (flag *waitFlag) finish(session *session, err error, changes ...operator.Change) error {
	if len(changes) > 0 {
		err = errors.CombineErrors(err, session.printer.changes(changes))
	}
	if err != nil || !flag.Wait || len(changes) == 0 {
		return err
	}
	var revision int64
	for _, change := range changes {
		revision = max(revision, change.Revision)
	}
	return session.wait(revision)
}

// finishOne is like finish, for commands that make one change.
func (flag *waitFlag) finishOne(session *session, change operator.Change, err error) error {
	if err != nil {
		return err
	}
	return flag.finish(session, nil, change)
}

// wait waits until a revision is in force in every zone, and prints the result.
func (session *session) wait(revision int64) error {
	result, err := session.operator.Wait(session.ctx, revision, session.freshFor)
	if err != nil {
		return err
	}
	return session.printer.inForce(result)
}

// labelCommand implements "robinctl label".
type labelCommand struct {
	waitFlag
	Backend string   `arg:"" help:"Name of the back end."`
	Labels  []string `arg:"" help:"key=value sets a label, key- removes it."`
}

// Run changes labels of a back end.
func (command *labelCommand) Run(session *session) error {
	change, err := session.operator.Label(session.ctx, lb.BackendName(command.Backend), command.Labels)
	return command.finishOne(session, change, err)
}

// selectorCommand implements "robinctl selector".
type selectorCommand struct {
	waitFlag
	Service  string `arg:"" help:"Name of the service."`
	Selector string `arg:"" help:"Terms joined by commas, e.g. 'app=wallet, tier in (a, b), !canary'."`
}

// Run changes the selector of a service.
func (command *selectorCommand) Run(session *session) error {
	change, err := session.operator.EditService(session.ctx, lb.ServiceName(command.Service), func(service *catalog.Service) error {
		service.Selector = command.Selector
		return nil
	})
	return command.finishOne(session, change, err)
}

// drainCommand implements "robinctl drain".
type drainCommand struct {
	waitFlag
	Backend string `arg:"" help:"Name of the back end."`
}

// Run drains a back end: it gets no new flows and keeps its open flows.
func (command *drainCommand) Run(session *session) error {
	change, err := session.operator.Drain(session.ctx, lb.BackendName(command.Backend), true)
	return command.finishOne(session, change, err)
}

// undrainCommand implements "robinctl undrain".
type undrainCommand struct {
	waitFlag
	Backend string `arg:"" help:"Name of the back end."`
}

// Run sends new flows to a drained back end again.
func (command *undrainCommand) Run(session *session) error {
	change, err := session.operator.Drain(session.ctx, lb.BackendName(command.Backend), false)
	return command.finishOne(session, change, err)
}

// statusCommand implements "robinctl status".
type statusCommand struct{}

// Run prints the status of zones and services.
func (command *statusCommand) Run(session *session) error {
	status, err := session.operator.Status(session.ctx, session.freshFor)
	if err != nil {
		return err
	}
	return session.printer.status(status)
}

// waitCommand implements "robinctl wait".
type waitCommand struct {
	Revision int64  `help:"Store revision to wait for; default: the revision of the last change." xor:"what"`
	Service  string `help:"Wait for the last change that affects this service." xor:"what"`
}

// Run waits until a change is in force in every zone.
func (command *waitCommand) Run(session *session) error {
	revision, err := command.revision(session)
	if err != nil {
		return err
	}
	return session.wait(revision)
}

// revision returns the store revision to wait for.
func (command *waitCommand) revision(session *session) (int64, error) {
	switch {
	case command.Revision > 0:
		return command.Revision, nil
	case command.Service != "":
		return session.operator.LastChangeOf(session.ctx, lb.ServiceName(command.Service))
	}
	return session.operator.LastChange(session.ctx)
}

// applyCommand implements "robinctl apply".
type applyCommand struct {
	waitFlag
	File string `short:"f" required:"" help:"YAML file, or - for standard input." placeholder:"FILE"`
}

// Run creates or changes the objects in the file.
func (command *applyCommand) Run(session *session) error {
	objects, err := command.read()
	if err != nil {
		return err
	}
	changes, err := session.operator.Apply(session.ctx, objects)
	return command.finish(session, err, changes...)
}

// read reads the objects from the file or from standard input.
func (command *applyCommand) read() (operator.Objects, error) {
	var reader io.Reader = os.Stdin
	if command.File != "-" {
		file, err := os.Open(command.File)
		if err != nil {
			return operator.Objects{}, errors.Mark(err, operator.ErrBadInput)
		}
		defer file.Close()
		reader = file
	}
	objects, err := operator.ReadObjects(reader)
	return objects, errors.Wrap(err, command.File)
}

// exportCommand implements "robinctl export".
type exportCommand struct{}

// Run writes all objects as YAML, or as JSON if that is the output format.
func (command *exportCommand) Run(session *session) error {
	objects, err := session.operator.Export(session.ctx)
	if err != nil {
		return err
	}
	if session.printer.output == outputJSON {
		return session.printer.print(objects, nil)
	}
	return operator.WriteObjects(session.printer.writer, objects)
}
