package faults

import (
	"context"
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/lab/soak"
)

// toggleRoute sets the next of a front end's states: a route to web, a route to docs, no route.
func toggleRoute(routes map[netip.AddrPort]string, frontend netip.AddrPort) {
	switch routes[frontend] {
	case "":
		routes[frontend] = soak.ServiceWeb
	case soak.ServiceWeb:
		routes[frontend] = soak.ServiceDocs
	default:
		delete(routes, frontend)
	}
}

// changeRoute changes the route of one front end, as an operator would.
type changeRoute struct{}

func (changeRoute) Name() string { return "change" }

func (changeRoute) Targets(soak.Size) int { return len(soak.ToggledFrontends) }

func (changeRoute) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	s.UpdateRoutes(func(routes map[netip.AddrPort]string) { toggleRoute(routes, soak.ToggledFrontends[target]) })
	return func() error { return nil }, nil
}

// evacuateZone evacuates a zone, so that its hosts receive no openings, and later restores it.
type evacuateZone struct{}

func (evacuateZone) Name() string { return "evacuate" }

func (evacuateZone) Targets(size soak.Size) int { return size.Zones }

func (evacuateZone) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	restore, started := s.Evacuate(target)
	if !started {
		return nil, soak.ErrTargetLocked
	}
	return func() error {
		time.Sleep(minEvacuationTime)
		restore()
		return nil
	}, nil
}

// minEvacuationTime is the minimum duration of an evacuation. It is longer than the default
// Bounds.ChangeLimit, as the checker verifies an evacuation only after that limit.
const minEvacuationTime = 4 * time.Second

// Number of changes in a burst, and the time between them.
const (
	burstChanges  = 20
	burstInterval = 80 * time.Millisecond
)

// changeBurst changes the routes many times in quick succession.
type changeBurst struct{ platformFault }

func (changeBurst) Name() string { return "storm" }

func (changeBurst) Inject(_ context.Context, s *soak.Site, _ int) (func() error, error) {
	return func() error {
		for index := range burstChanges {
			s.UpdateRoutes(func(routes map[netip.AddrPort]string) {
				toggleRoute(routes, soak.ToggledFrontends[index%len(soak.ToggledFrontends)])
			})
			time.Sleep(burstInterval)
		}
		return nil
	}, nil
}
