package faults

import (
	"context"
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/lab/soak"
)

// anyPort is the address of a host whose port the system chooses.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// Times of the faults on hosts.
const (
	// minDrainTime is the minimum time for which a draining host continues to serve its flows.
	minDrainTime = 4 * time.Second
	// entryLapseTime is the time until the store entry of a crashed host lapses.
	entryLapseTime = 1500 * time.Millisecond
)

// replaceHost replaces a host: first the new host starts, then the old one drains and stops.
type replaceHost struct{ hostFault }

func (replaceHost) Name() string { return "drain" }

func (replaceHost) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	replica, old, unlock, locked := s.LockReplica(target)
	if !locked {
		return nil, soak.ErrTargetLocked
	}
	successor, err := s.NewHost(replica.Service, replica.Zone, anyPort)
	if err != nil {
		unlock(old)
		return nil, err
	}
	old.Announce(s.Store, "draining")
	s.Checker.RecordDraining(time.Now(), old.ID)
	return func() error {
		time.Sleep(minDrainTime)
		s.Store.Delete("servers/" + old.ID)
		s.Checker.RecordHostStop(old.ID)
		old.Close()
		unlock(successor)
		return nil
	}, nil
}

// crashHost stops a host without draining it. When the host's store entry has lapsed, a new host of
// the other service reuses the address.
type crashHost struct{ hostFault }

func (crashHost) Name() string { return "crash" }

func (crashHost) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	replica, old, unlock, locked := s.LockReplica(target)
	if !locked {
		return nil, soak.ErrTargetLocked
	}
	s.Checker.RecordHostStop(old.ID)
	address := old.Address()
	old.Close()
	return func() error {
		time.Sleep(entryLapseTime)
		s.Store.Delete("servers/" + old.ID)
		s.Checker.RecordDraining(time.Now(), old.ID)
		successor, err := s.NewHost(replica.Service, replica.Zone, anyPort)
		if err != nil {
			unlock(old)
			return err
		}
		_, err = s.NewHost(otherService(replica.Service), replica.Zone, address)
		unlock(successor)
		return err
	}, nil
}

// otherService returns the site's other service.
func otherService(service string) string {
	if service == soak.ServiceWeb {
		return soak.ServiceDocs
	}
	return soak.ServiceWeb
}

// unresponsiveHost makes a host drop all packets for a while.
type unresponsiveHost struct{ hostFault }

func (unresponsiveHost) Name() string { return "silence" }

func (unresponsiveHost) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	_, host, unlock, locked := s.LockReplica(target)
	if !locked {
		return nil, soak.ErrTargetLocked
	}
	host.SetUnresponsive(true)
	return func() error {
		host.SetUnresponsive(false)
		unlock(host)
		return nil
	}, nil
}

// stallHost pauses a host. Packets that arrive during the pause are handled after it.
type stallHost struct{ hostFault }

func (stallHost) Name() string { return "stall" }

func (stallHost) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	_, host, unlock, locked := s.LockReplica(target)
	if !locked {
		return nil, soak.ErrTargetLocked
	}
	s.Checker.RecordHostStall()
	resume := host.Stall()
	return func() error {
		resume()
		unlock(host)
		return nil
	}, nil
}
