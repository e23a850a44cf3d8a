package main

import (
	"net/netip"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/operator"
)

type serviceCommands struct {
	Create serviceCreate `cmd:"" help:"Create a service."`
	Set    serviceSet    `cmd:"" help:"Change a service; what is not given stays."`
	Delete serviceDelete `cmd:"" help:"Delete a service."`
	List   serviceList   `cmd:"" help:"Show all services."`
	Get    serviceGet    `cmd:"" help:"Show one service."`
}

// serviceFields are the flags of a service; nil is not given.
type serviceFields struct {
	Frontend       []string `help:"Front end, tcp://IP:PORT or udp://IP:PORT; may be given several times." placeholder:"URL"`
	Selector       *string  `help:"Selector of its back ends." placeholder:"EXPR"`
	OpensPerSecond *uint32  `help:"Limit of new flows per second; 0 is unlimited." placeholder:"N"`
}

func (fields *serviceFields) apply(service *catalog.Service) error {
	if len(fields.Frontend) > 0 {
		service.Frontends = nil
	}
	for _, text := range fields.Frontend {
		frontend, err := catalog.ParseFrontend(text)
		if err != nil {
			return err
		}
		service.Frontends = append(service.Frontends, frontend)
	}
	if fields.Selector != nil {
		service.Selector = *fields.Selector
	}
	if fields.OpensPerSecond != nil {
		service.OpensPerSecond = *fields.OpensPerSecond
	}
	return nil
}

type serviceCreate struct {
	waiting
	serviceFields
	Name string `arg:"" help:"Name of the service."`
}

// Run creates a service.
func (command *serviceCreate) Run(session *session) error {
	service := catalog.Service{Name: lb.ServiceName(command.Name)}
	if err := command.apply(&service); err != nil {
		return errors.Mark(err, operator.ErrBadInput)
	}
	change, err := session.operator.CreateService(session.ctx, service)
	return command.done(session, change, err)
}

type serviceSet struct {
	waiting
	serviceFields
	Name string `arg:"" help:"Name of the service."`
}

// Run changes a service.
func (command *serviceSet) Run(session *session) error {
	change, err := session.operator.EditService(session.ctx, lb.ServiceName(command.Name), command.apply)
	return command.done(session, change, err)
}

type serviceDelete struct {
	waiting
	Name string `arg:"" help:"Name of the service."`
}

// Run deletes a service.
func (command *serviceDelete) Run(session *session) error {
	change, err := session.operator.DeleteService(session.ctx, lb.ServiceName(command.Name))
	return command.done(session, change, err)
}

type serviceList struct{}

// Run shows all services.
func (command *serviceList) Run(session *session) error {
	objects, err := session.operator.Export(session.ctx)
	if err != nil && objects.Services == nil {
		return err
	}
	return errors.CombineErrors(err, session.printer.services(objects.Services)) // invalid documents are told beside the valid ones
}

type serviceGet struct {
	Name string `arg:"" help:"Name of the service."`
}

// Run shows one service.
func (command *serviceGet) Run(session *session) error {
	service, err := session.operator.Service(session.ctx, lb.ServiceName(command.Name))
	if err != nil {
		return err
	}
	return session.printer.services([]catalog.Service{service})
}

type backendCommands struct {
	Create backendCreate `cmd:"" help:"Create a back end."`
	Set    backendSet    `cmd:"" help:"Change a back end; what is not given stays."`
	Delete backendDelete `cmd:"" help:"Delete a back end."`
	List   backendList   `cmd:"" help:"Show all back ends."`
	Get    backendGet    `cmd:"" help:"Show one back end."`
}

// backendFields are the flags of a back end; nil is not given.
type backendFields struct {
	Host   *string           `help:"Geneve endpoint of the host (UDP)." placeholder:"IP:PORT"`
	Zone   *string           `help:"Zone of the host." placeholder:"ZONE"`
	Label  map[string]string `help:"Labels, key=value; they replace all earlier ones." placeholder:"KEY=VALUE"`
	Probe  *string           `help:"Health and load endpoint, http://IP:PORT/PATH; empty: not probed." placeholder:"URL"`
	Weight *uint16           `help:"Share of new flows, 1 to 1000; default 100." placeholder:"N"`
}

func (fields *backendFields) apply(backend *catalog.Backend) error {
	if fields.Host != nil {
		host, err := netip.ParseAddrPort(*fields.Host)
		if err != nil {
			return errors.Wrapf(err, "host %q", *fields.Host)
		}
		backend.Host = host
	}
	if fields.Zone != nil {
		backend.Zone = lb.Zone(*fields.Zone)
	}
	if fields.Label != nil {
		backend.Labels = fields.Label
	}
	if fields.Probe != nil {
		backend.Probe = *fields.Probe
	}
	if fields.Weight == nil {
		return nil
	}
	if *fields.Weight == 0 {
		return errors.Newf("weight %q: must be 1 to %d; use drain to take new flows away", "0", catalog.MaxWeight)
	}
	backend.Weight = *fields.Weight
	return nil
}

type backendCreate struct {
	waiting
	backendFields
	Name string `arg:"" help:"Name of the back end."`
}

// Run creates a back end.
func (command *backendCreate) Run(session *session) error {
	backend := catalog.Backend{Name: lb.BackendName(command.Name), Labels: map[string]string{}}
	if err := command.apply(&backend); err != nil {
		return errors.Mark(err, operator.ErrBadInput)
	}
	change, err := session.operator.CreateBackend(session.ctx, backend)
	return command.done(session, change, err)
}

type backendSet struct {
	waiting
	backendFields
	Name string `arg:"" help:"Name of the back end."`
}

// Run changes a back end.
func (command *backendSet) Run(session *session) error {
	change, err := session.operator.EditBackend(session.ctx, lb.BackendName(command.Name), command.apply)
	return command.done(session, change, err)
}

type backendDelete struct {
	waiting
	Name string `arg:"" help:"Name of the back end."`
}

// Run deletes a back end.
func (command *backendDelete) Run(session *session) error {
	change, err := session.operator.DeleteBackend(session.ctx, lb.BackendName(command.Name))
	return command.done(session, change, err)
}

type backendList struct{}

// Run shows all back ends.
func (command *backendList) Run(session *session) error {
	objects, err := session.operator.Export(session.ctx)
	if err != nil && objects.Backends == nil {
		return err
	}
	return errors.CombineErrors(err, session.printer.backends(objects.Backends)) // invalid documents are told beside the valid ones
}

type backendGet struct {
	Name string `arg:"" help:"Name of the back end."`
}

// Run shows one back end.
func (command *backendGet) Run(session *session) error {
	backend, err := session.operator.Backend(session.ctx, lb.BackendName(command.Name))
	if err != nil {
		return err
	}
	return session.printer.backends([]catalog.Backend{backend})
}
