package faults

import (
	"context"

	"robinpulley.example/robinpulley/internal/lab/platformsim"
	"robinpulley.example/robinpulley/internal/lab/proxy"
	"robinpulley.example/robinpulley/internal/lab/soak"
)

// link harms the connections of one node to the store.
type link struct{ mode proxy.Mode }

func (f link) Name() string { return "link_" + string(f.mode) }

func (link) Targets(size soak.Size) int { return size.Nodes }

func (f link) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	n := s.Nodes[target]
	calm := s.Checker.Disturb(n.Data)
	n.Link.SetMode(f.mode)
	return func() error {
		n.Link.SetMode(proxy.Pass)
		calm()
		return nil
	}, nil
}

// store has the store fail for all nodes.
type store struct{ fault platformsim.Fault }

func (f store) Name() string { return "store_" + string(f.fault) }

func (store) Targets(soak.Size) int { return 1 }

func (f store) Inject(_ context.Context, s *soak.Site, _ int) (func() error, error) {
	calm := s.DisturbAll()
	s.Store.SetFault(f.fault)
	return func() error {
		s.Store.SetFault(platformsim.FaultNone)
		calm()
		return nil
	}, nil
}

// compact has the store forget its history.
type compact struct{ platform }

func (compact) Name() string { return "compact" }

func (compact) Inject(_ context.Context, s *soak.Site, _ int) (func() error, error) {
	calm := s.DisturbAll()
	s.Store.Compact()
	return func() error {
		calm()
		return nil
	}, nil
}

// lostPart is the part of the packets that the fault loss takes.
const lostPart = 0.03

// loss has packets of callers lost on their way to the nodes.
type loss struct{ platform }

func (loss) Name() string { return "loss" }

func (loss) Inject(_ context.Context, s *soak.Site, _ int) (func() error, error) {
	calm := s.DisturbAll()
	s.Router.SetLoss(lostPart)
	return func() error {
		s.Router.SetLoss(0)
		calm()
		return nil
	}, nil
}
