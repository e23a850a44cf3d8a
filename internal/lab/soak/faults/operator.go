package faults

import (
	"context"
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/lab/soak"
)

// toggle gives the front end its next state: web, docs, no route, and again.
func toggle(routes map[netip.AddrPort]string, front netip.AddrPort) {
	switch routes[front] {
	case "":
		routes[front] = soak.ServiceWeb
	case soak.ServiceWeb:
		routes[front] = soak.ServiceDocs
	default:
		delete(routes, front)
	}
}

// change is one change of a route by the operator.
type change struct{}

func (change) Name() string { return "change" }

func (change) Targets(soak.Size) int { return len(soak.Toggled) }

func (change) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	s.Change(func(routes map[netip.AddrPort]string) { toggle(routes, soak.Toggled[target]) })
	return func() error { return nil }, nil
}

// evacuate takes a zone out of use, so that its hosts get nothing new, and takes it back.
type evacuate struct{}

func (evacuate) Name() string { return "evacuate" }

func (evacuate) Targets(size soak.Size) int { return size.Zones }

func (evacuate) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	restore, held := s.Evacuate(target)
	if !held {
		return nil, soak.ErrHeld
	}
	return func() error {
		time.Sleep(evacuationTime)
		restore()
		return nil
	}, nil
}

// evacuationTime is how long a zone is evacuated at the least: longer than the
// bound, so that it is checked.
const evacuationTime = 4 * time.Second

// Changes in quick succession.
const (
	stormChanges  = 20
	stormInterval = 80 * time.Millisecond
)

// storm is changes in quick succession.
type storm struct{ platform }

func (storm) Name() string { return "storm" }

func (storm) Inject(_ context.Context, s *soak.Site, _ int) (func() error, error) {
	return func() error {
		for index := range stormChanges {
			s.Change(func(routes map[netip.AddrPort]string) { toggle(routes, soak.Toggled[index%len(soak.Toggled)]) })
			time.Sleep(stormInterval)
		}
		return nil
	}, nil
}
