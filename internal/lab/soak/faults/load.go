package faults

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/soak"
)

// zones is what a fault embeds that befalls one zone.
type zones struct{}

// Targets implements soak.Fault.
func (zones) Targets(size soak.Size) int { return size.Zones }

// crowdTime is how long callers crowd at the least: longer than it takes until nodes know.
const crowdTime = 2 * time.Second

// crowd has the callers of one zone ask several times as much.
type crowd struct{ zones }

func (crowd) Name() string { return "crowd" }

func (crowd) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	gone, held := s.HoldLoad()
	if !held {
		return nil, soak.ErrHeld
	}
	leave := s.Crowd(target)
	return func() error {
		time.Sleep(crowdTime)
		leave()
		gone()
		return nil
	}, nil
}

// move has the callers of one zone go to the nodes of the next one.
type move struct{ zones }

func (move) Name() string { return "move" }

func (move) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	gone, held := s.HoldLoad()
	if !held {
		return nil, soak.ErrHeld
	}
	back := s.MoveCallers(target, (target+1)%s.Settings.Size.Zones)
	return func() error {
		back()
		gone()
		return nil
	}, nil
}

// slowTimes is by how much a slow host's requests take longer.
const slowTimes = 5

// slow has a host take longer for each request.
type slow struct{ hosts }

func (slow) Name() string { return "slow" }

func (slow) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	_, host, release, held := s.HoldSlot(target)
	if !held {
		return nil, soak.ErrHeld
	}
	gone, held := s.HoldLoad()
	if !held {
		release(host)
		return nil, soak.ErrHeld
	}
	host.SetWork(slowTimes * soak.RequestWork)
	return func() error {
		host.SetWork(soak.RequestWork)
		release(host)
		gone()
		return nil
	}, nil
}

// crowdEvacuated takes a zone out of use while its callers crowd.
type crowdEvacuated struct{ zones }

func (crowdEvacuated) Name() string { return "crowd_evacuated" }

func (crowdEvacuated) Inject(ctx context.Context, s *soak.Site, target int) (func() error, error) {
	restore, err := evacuate{}.Inject(ctx, s, target)
	if err != nil {
		return nil, err
	}
	leave, err := crowd{}.Inject(ctx, s, target)
	if err != nil {
		return nil, errors.CombineErrors(err, restore())
	}
	return func() error { return together([]func() error{restore, leave}) }, nil
}

// coldMost replaces all hosts of a service but one at the same time, so that those that
// have just started are the most.
type coldMost struct{}

func (coldMost) Name() string { return "cold_most" }

func (coldMost) Targets(soak.Size) int { return 2 } // services

func (coldMost) Inject(ctx context.Context, s *soak.Site, target int) (func() error, error) {
	gone, held := s.HoldLoad()
	if !held {
		return nil, soak.ErrHeld
	}
	each := s.Settings.Size.Hosts
	var ends []func() error
	for index := target * each; index < (target+1)*each-1; index++ {
		end, err := drain{}.Inject(ctx, s, index)
		if errors.Is(err, soak.ErrHeld) {
			continue // another fault has it
		}
		if err != nil {
			gone()
			return nil, errors.CombineErrors(err, together(ends))
		}
		ends = append(ends, end)
	}
	return func() error {
		defer gone()
		return together(ends)
	}, nil
}
