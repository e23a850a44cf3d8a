package faults

import (
	"context"
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/lab/soak"
)

// anyPort lets the system choose a host's port.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// Times of hosts.
const (
	// drainTime is how long a draining host serves on at the least.
	drainTime = 4 * time.Second
	// lapseTime is how long the entry of a host that has crashed stays.
	lapseTime = 1500 * time.Millisecond
)

// drain replaces a host: the new one starts first, the old one drains and leaves.
type drain struct{ hosts }

func (drain) Name() string { return "drain" }

func (drain) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	slot, old, release, held := s.HoldSlot(target)
	if !held {
		return nil, soak.ErrHeld
	}
	successor, err := s.NewHost(slot.Service, slot.Zone, anyPort)
	if err != nil {
		release(old)
		return nil, err
	}
	old.Announce(s.Store, "draining")
	s.Checker.Draining(time.Now(), old.ID)
	return func() error {
		time.Sleep(drainTime)
		s.Store.Delete("servers/" + old.ID)
		s.Checker.Gone(old.ID)
		old.Close()
		release(successor)
		return nil
	}, nil
}

// crash ends a host without a word. Its address goes to a host of the other
// service when its entry has lapsed.
type crash struct{ hosts }

func (crash) Name() string { return "crash" }

func (crash) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	slot, old, release, held := s.HoldSlot(target)
	if !held {
		return nil, soak.ErrHeld
	}
	s.Checker.Gone(old.ID)
	address := old.Address()
	old.Close()
	return func() error {
		time.Sleep(lapseTime)
		s.Store.Delete("servers/" + old.ID)
		s.Checker.Draining(time.Now(), old.ID)
		successor, err := s.NewHost(slot.Service, slot.Zone, anyPort)
		if err != nil {
			release(old)
			return err
		}
		_, err = s.NewHost(other(slot.Service), slot.Zone, address)
		release(successor)
		return err
	}, nil
}

// other gives the other service.
func other(service string) string {
	if service == soak.ServiceWeb {
		return soak.ServiceDocs
	}
	return soak.ServiceWeb
}

// silence has a host answer nothing for a while.
type silence struct{ hosts }

func (silence) Name() string { return "silence" }

func (silence) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	_, host, release, held := s.HoldSlot(target)
	if !held {
		return nil, soak.ErrHeld
	}
	host.Silence(true)
	return func() error {
		host.Silence(false)
		release(host)
		return nil
	}, nil
}

// stall pauses a host: what comes meanwhile is handled late.
type stall struct{ hosts }

func (stall) Name() string { return "stall" }

func (stall) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	_, host, release, held := s.HoldSlot(target)
	if !held {
		return nil, soak.ErrHeld
	}
	s.Checker.Stalled()
	resume := host.Stall()
	return func() error {
		resume()
		release(host)
		return nil
	}, nil
}
