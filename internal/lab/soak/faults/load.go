package faults

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/soak"
)

// zoneFault is embedded by faults that affect one zone.
type zoneFault struct{}

// Targets implements soak.Fault.
func (zoneFault) Targets(size soak.Size) int { return size.Zones }

// minSurgeTime is the minimum duration of a surge. It is longer than the load reports take to reach
// all nodes.
const minSurgeTime = 2 * time.Second

// surge makes the clients of one zone send several times their usual number of requests.
type surge struct{ zoneFault }

func (surge) Name() string { return "crowd" }

func (surge) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	unlockLoad, locked := s.LockLoad()
	if !locked {
		return nil, soak.ErrTargetLocked
	}
	endSurge := s.StartSurge(target)
	return func() error {
		time.Sleep(minSurgeTime)
		endSurge()
		unlockLoad()
		return nil
	}, nil
}

// moveClients routes the clients of one zone to the nodes of the next zone.
type moveClients struct{ zoneFault }

func (moveClients) Name() string { return "move" }

func (moveClients) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	unlockLoad, locked := s.LockLoad()
	if !locked {
		return nil, soak.ErrTargetLocked
	}
	revert := s.MoveClients(target, (target+1)%s.Settings.Size.Zones)
	return func() error {
		revert()
		unlockLoad()
		return nil
	}, nil
}

// slowFactor is the factor by which the service time at a slow host grows.
const slowFactor = 5

// slowHost increases the service time of each request at a host.
type slowHost struct{ hostFault }

func (slowHost) Name() string { return "slow" }

func (slowHost) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	_, host, unlockReplica, locked := s.LockReplica(target)
	if !locked {
		return nil, soak.ErrTargetLocked
	}
	unlockLoad, locked := s.LockLoad()
	if !locked {
		unlockReplica(host)
		return nil, soak.ErrTargetLocked
	}
	host.SetWork(slowFactor * soak.RequestServiceTime)
	return func() error {
		host.SetWork(soak.RequestServiceTime)
		unlockReplica(host)
		unlockLoad()
		return nil
	}, nil
}

// surgeInEvacuatedZone evacuates a zone during a surge by its clients.
type surgeInEvacuatedZone struct{ zoneFault }

func (surgeInEvacuatedZone) Name() string { return "crowd_evacuated" }

func (surgeInEvacuatedZone) Inject(ctx context.Context, s *soak.Site, target int) (func() error, error) {
	restore, err := evacuateZone{}.Inject(ctx, s, target)
	if err != nil {
		return nil, err
	}
	endSurge, err := surge{}.Inject(ctx, s, target)
	if err != nil {
		return nil, errors.CombineErrors(err, restore())
	}
	return func() error { return runConcurrently([]func() error{restore, endSurge}) }, nil
}

// coldMajority replaces all hosts of a service but one at the same time, so that most of its hosts
// are in their cold start.
type coldMajority struct{}

func (coldMajority) Name() string { return "cold_most" }

func (coldMajority) Targets(soak.Size) int { return 2 } // services

func (coldMajority) Inject(ctx context.Context, s *soak.Site, target int) (func() error, error) {
	unlockLoad, locked := s.LockLoad()
	if !locked {
		return nil, soak.ErrTargetLocked
	}
	hostsPerService := s.Settings.Size.Hosts
	var ends []func() error
	for index := target * hostsPerService; index < (target+1)*hostsPerService-1; index++ {
		end, err := replaceHost{}.Inject(ctx, s, index)
		if errors.Is(err, soak.ErrTargetLocked) {
			continue // another fault has reserved the replica
		}
		if err != nil {
			unlockLoad()
			return nil, errors.CombineErrors(err, runConcurrently(ends))
		}
		ends = append(ends, end)
	}
	return func() error {
		defer unlockLoad()
		return runConcurrently(ends)
	}, nil
}
