package main

import (
	"net/netip"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/operator"
)

// serviceCommands are the commands for services.
type serviceCommands struct {
	Create serviceCreate `cmd:"" help:"Create a service."`
	Set    serviceSet    `cmd:"" help:"Change a service; omitted flags leave their values unchanged."`
	Delete serviceDelete `cmd:"" help:"Delete a service."`
	List   serviceList   `cmd:"" help:"Show all services."`
	Get    serviceGet    `cmd:"" help:"Show one service."`
}

// serviceFlags are the flags that set fields of a service. A flag that isn't given is nil.
type serviceFlags struct {
	Frontend       []string `help:"Front end, tcp://IP:PORT or udp://IP:PORT; may be repeated." placeholder:"URL"`
	Selector       *string  `help:"Selector of its back ends." placeholder:"EXPR"`
	OpensPerSecond *uint32  `help:"Limit of new flows per second; 0 is unlimited." placeholder:"N"`
}

// apply copies the given flags to the service.
func (flags *serviceFlags) apply(service *catalog.Service) error {
	if len(flags.Frontend) > 0 {
		service.Frontends = nil
	}
	for _, text := range flags.Frontend {
		frontend, err := catalog.ParseFrontend(text)
		if err != nil {
			return err
		}
		service.Frontends = append(service.Frontends, frontend)
	}
	if flags.Selector != nil {
		service.Selector = *flags.Selector
	}
	if flags.OpensPerSecond != nil {
		service.OpensPerSecond = *flags.OpensPerSecond
	}
	return nil
}

// serviceCreate implements "robinctl service create".
type serviceCreate struct {
	waitFlag
	serviceFlags
	Name string `arg:"" help:"Name of the service."`
}

// Run creates a service.
func (command *serviceCreate) Run(session *session) error {
	service := catalog.Service{Name: lb.ServiceName(command.Name)}
	if err := command.apply(&service); err != nil {
		return errors.Mark(err, operator.ErrBadInput)
	}
	change, err := session.operator.CreateService(session.ctx, service)
	return command.finishOne(session, change, err)
}

// serviceSet implements "robinctl service set".
type serviceSet struct {
	waitFlag
	serviceFlags
	Name string `arg:"" help:"Name of the service."`
}

// Run changes a service.
func (command *serviceSet) Run(session *session) error {
	change, err := session.operator.EditService(session.ctx, lb.ServiceName(command.Name), command.apply)
	return command.finishOne(session, change, err)
}

// serviceDelete implements "robinctl service delete".
type serviceDelete struct {
	waitFlag
	Name string `arg:"" help:"Name of the service."`
}

// Run deletes a service.
func (command *serviceDelete) Run(session *session) error {
	change, err := session.operator.DeleteService(session.ctx, lb.ServiceName(command.Name))
	return command.finishOne(session, change, err)
}

// serviceList implements "robinctl service list".
type serviceList struct{}

// Run prints all services.
func (command *serviceList) Run(session *session) error {
	objects, err := session.operator.Export(session.ctx)
	if err != nil && objects.Services == nil {
		return err
	}
	return errors.CombineErrors(err, session.printer.services(objects.Services)) // err reports invalid documents
}

// serviceGet implements "robinctl service get".
type serviceGet struct {
	Name string `arg:"" help:"Name of the service."`
}

// Run prints one service.
func (command *serviceGet) Run(session *session) error {
	service, err := session.operator.Service(session.ctx, lb.ServiceName(command.Name))
	if err != nil {
		return err
	}
	return session.printer.services([]catalog.Service{service})
}

// backendCommands are the commands for back ends.
type backendCommands struct {
	Create backendCreate `cmd:"" help:"Create a back end."`
	Set    backendSet    `cmd:"" help:"Change a back end; omitted flags leave their values unchanged."`
	Delete backendDelete `cmd:"" help:"Delete a back end."`
	List   backendList   `cmd:"" help:"Show all back ends."`
	Get    backendGet    `cmd:"" help:"Show one back end."`
}

// backendFlags are the flags that set fields of a back end. A flag that isn't given is nil.
type backendFlags struct {
	Host   *string           `help:"Geneve endpoint of the host (UDP)." placeholder:"IP:PORT"`
	Zone   *string           `help:"Zone of the host." placeholder:"ZONE"`
	Label  map[string]string `help:"Labels, key=value; they replace all present labels." placeholder:"KEY=VALUE"`
	Probe  *string           `help:"Health and load endpoint, http://IP:PORT/PATH; empty: not probed." placeholder:"URL"`
	Weight *uint16           `help:"Share of new flows, 1 to 1000; default 100." placeholder:"N"`
}

// apply copies the given flags to the back end.
func (flags *backendFlags) apply(backend *catalog.Backend) error {
	if flags.Host != nil {
		host, err := netip.ParseAddrPort(*flags.Host)
		if err != nil {
			return errors.Wrapf(err, "host %q", *flags.Host)
		}
		backend.Host = host
	}
	if flags.Zone != nil {
		backend.Zone = lb.Zone(*flags.Zone)
	}
	if flags.Label != nil {
		backend.Labels = flags.Label
	}
	if flags.Probe != nil {
		backend.Probe = *flags.Probe
	}
	if flags.Weight == nil {
		return nil
	}
	if *flags.Weight == 0 {
		return errors.Newf("weight %q: must be 1 to %d; use drain to stop new flows", "0", catalog.MaxWeight)
	}
	backend.Weight = *flags.Weight
	return nil
}

// backendCreate implements "robinctl backend create".
type backendCreate struct {
	waitFlag
	backendFlags
	Name string `arg:"" help:"Name of the back end."`
}

// Run creates a back end.
func (command *backendCreate) Run(session *session) error {
	backend := catalog.Backend{Name: lb.BackendName(command.Name), Labels: map[string]string{}}
	if err := command.apply(&backend); err != nil {
		return errors.Mark(err, operator.ErrBadInput)
	}
	change, err := session.operator.CreateBackend(session.ctx, backend)
	return command.finishOne(session, change, err)
}

// backendSet implements "robinctl backend set".
type backendSet struct {
	waitFlag
	backendFlags
	Name string `arg:"" help:"Name of the back end."`
}

// Run changes a back end.
func (command *backendSet) Run(session *session) error {
	change, err := session.operator.EditBackend(session.ctx, lb.BackendName(command.Name), command.apply)
	return command.finishOne(session, change, err)
}

// backendDelete implements "robinctl backend delete".
type backendDelete struct {
	waitFlag
	Name string `arg:"" help:"Name of the back end."`
}

// Run deletes a back end.
func (command *backendDelete) Run(session *session) error {
	change, err := session.operator.DeleteBackend(session.ctx, lb.BackendName(command.Name))
	return command.finishOne(session, change, err)
}

// backendList implements "robinctl backend list".
type backendList struct{}

// Run prints all back ends.
func (command *backendList) Run(session *session) error {
	objects, err := session.operator.Export(session.ctx)
	if err != nil && objects.Backends == nil {
		return err
	}
	return errors.CombineErrors(err, session.printer.backends(objects.Backends)) // err reports invalid documents
}

// backendGet implements "robinctl backend get".
type backendGet struct {
	Name string `arg:"" help:"Name of the back end."`
}

// Run prints one back end.
func (command *backendGet) Run(session *session) error {
	backend, err := session.operator.Backend(session.ctx, lb.BackendName(command.Name))
	if err != nil {
		return err
	}
	return session.printer.backends([]catalog.Backend{backend})
}
