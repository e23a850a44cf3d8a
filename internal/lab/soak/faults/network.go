package faults

import (
	"context"

	"robinpulley.example/robinpulley/internal/lab/platformsim"
	"robinpulley.example/robinpulley/internal/lab/proxy"
	"robinpulley.example/robinpulley/internal/lab/soak"
)

// storeConnection disturbs the connections between one node and the store.
type storeConnection struct{ mode proxy.Mode }

func (f storeConnection) Name() string { return "link_" + string(f.mode) }

func (storeConnection) Targets(size soak.Size) int { return size.Nodes }

func (f storeConnection) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	n := s.Nodes[target]
	endDisturbance := s.Checker.BeginDisturbance(n.Data)
	n.StoreProxy.SetMode(f.mode)
	return func() error {
		n.StoreProxy.SetMode(proxy.Forward)
		endDisturbance()
		return nil
	}, nil
}

// storeFailure makes the store fail for all nodes.
type storeFailure struct{ fault platformsim.Fault }

func (f storeFailure) Name() string { return "store_" + string(f.fault) }

func (storeFailure) Targets(soak.Size) int { return 1 }

func (f storeFailure) Inject(_ context.Context, s *soak.Site, _ int) (func() error, error) {
	endDisturbance := s.DisturbAllNodes()
	s.Store.SetFault(f.fault)
	return func() error {
		s.Store.SetFault(platformsim.FaultNone)
		endDisturbance()
		return nil
	}, nil
}

// compactStore makes the store discard its history of revisions.
type compactStore struct{ platformFault }

func (compactStore) Name() string { return "compact" }

func (compactStore) Inject(_ context.Context, s *soak.Site, _ int) (func() error, error) {
	endDisturbance := s.DisturbAllNodes()
	s.Store.Compact()
	return func() error {
		endDisturbance()
		return nil
	}, nil
}

// lossRate is the share of packets that packetLoss drops.
const lossRate = 0.03

// packetLoss drops packets between the clients and the nodes.
type packetLoss struct{ platformFault }

func (packetLoss) Name() string { return "loss" }

func (packetLoss) Inject(_ context.Context, s *soak.Site, _ int) (func() error, error) {
	endDisturbance := s.DisturbAllNodes()
	s.Router.SetLoss(lossRate)
	return func() error {
		s.Router.SetLoss(0)
		endDisturbance()
		return nil
	}, nil
}
