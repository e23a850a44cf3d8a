package main

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/operator"
)

// waiting is the flag of every command that changes something.
type waiting struct {
	Wait bool `help:"Wait until the change is in force in every zone."`
}

// finish prints the changes and, if asked for, waits for the last one. What
// was done is printed also when a later change failed.
func (waiting *waiting) finish(session *session, err error, changes ...operator.Change) error {
	if len(changes) > 0 {
		err = errors.CombineErrors(err, session.printer.changes(changes))
	}
	if err != nil || !waiting.Wait || len(changes) == 0 {
		return err
	}
	var revision int64
	for _, change := range changes {
		revision = max(revision, change.Revision)
	}
	return session.wait(revision)
}

// done is finish for commands that make one change.
func (waiting *waiting) done(session *session, change operator.Change, err error) error {
	if err != nil {
		return err
	}
	return waiting.finish(session, nil, change)
}

func (session *session) wait(revision int64) error {
	result, err := session.operator.Wait(session.ctx, revision, session.freshFor)
	if err != nil {
		return err
	}
	return session.printer.inForce(result)
}

type labelCommand struct {
	waiting
	Backend string   `arg:"" help:"Name of the back end."`
	Labels  []string `arg:"" help:"key=value sets a label, key- takes it away."`
}

// Run changes labels.
func (command *labelCommand) Run(session *session) error {
	change, err := session.operator.Label(session.ctx, lb.BackendName(command.Backend), command.Labels)
	return command.done(session, change, err)
}

type selectorCommand struct {
	waiting
	Service  string `arg:"" help:"Name of the service."`
	Selector string `arg:"" help:"Terms joined by commas, e.g. 'app=wallet, tier in (a, b), !canary'."`
}

// Run changes a selector.
func (command *selectorCommand) Run(session *session) error {
	change, err := session.operator.EditService(session.ctx, lb.ServiceName(command.Service), func(service *catalog.Service) error {
		service.Selector = command.Selector
		return nil
	})
	return command.done(session, change, err)
}

type drainCommand struct {
	waiting
	Backend string `arg:"" help:"Name of the back end."`
}

// Run drains a back end.
func (command *drainCommand) Run(session *session) error {
	change, err := session.operator.Drain(session.ctx, lb.BackendName(command.Backend), true)
	return command.done(session, change, err)
}

type undrainCommand struct {
	waiting
	Backend string `arg:"" help:"Name of the back end."`
}

// Run ends the draining of a back end.
func (command *undrainCommand) Run(session *session) error {
	change, err := session.operator.Drain(session.ctx, lb.BackendName(command.Backend), false)
	return command.done(session, change, err)
}

type statusCommand struct{}

// Run shows the status.
func (command *statusCommand) Run(session *session) error {
	status, err := session.operator.Status(session.ctx, session.freshFor)
	if err != nil {
		return err
	}
	return session.printer.status(status)
}

type waitCommand struct {
	Revision int64  `help:"Store revision to wait for; default: that of the last change." xor:"what"`
	Service  string `help:"Wait for the last change that concerns this service." xor:"what"`
}

// Run waits for a change.
func (command *waitCommand) Run(session *session) error {
	revision, err := command.revision(session)
	if err != nil {
		return err
	}
	return session.wait(revision)
}

func (command *waitCommand) revision(session *session) (int64, error) {
	switch {
	case command.Revision > 0:
		return command.Revision, nil
	case command.Service != "":
		return session.operator.LastChangeOf(session.ctx, lb.ServiceName(command.Service))
	}
	return session.operator.LastChange(session.ctx)
}

type applyCommand struct {
	waiting
	File string `short:"f" required:"" help:"YAML file, or - for the standard input." placeholder:"FILE"`
}

// Run applies a file.
func (command *applyCommand) Run(session *session) error {
	objects, err := command.read()
	if err != nil {
		return err
	}
	changes, err := session.operator.Apply(session.ctx, objects)
	return command.finish(session, err, changes...)
}

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

type exportCommand struct{}

// Run exports all objects.
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
