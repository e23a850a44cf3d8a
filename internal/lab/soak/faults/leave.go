package faults

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/platformsim"
	"robinpulley.example/robinpulley/internal/lab/soak"
)

// minWithoutHosts is the minimum time for which a service has no registered hosts. It is longer
// than the time after which a host that left must receive no openings.
const minWithoutHosts = 4500 * time.Millisecond

// changeTime is how long a configuration change takes to reach all balancers.
const changeTime = 100 * time.Millisecond

// leaveTogether deletes the entries of all hosts of a service at the same time, without a drain,
// just after the balancer that reads the store was killed. The hosts go on serving for a while. A
// configuration change just before the kill makes all views current, so that the other balancers
// notice the loss of their source as late as possible.
type leaveTogether struct{}

func (leaveTogether) Name() string { return "leave_all" }

func (leaveTogether) Targets(soak.Size) int { return 2 } // services

func (leaveTogether) Inject(ctx context.Context, s *soak.Site, target int) (func() error, error) {
	unlockLoad, locked := s.LockLoad()
	if !locked {
		return nil, soak.ErrTargetLocked
	}
	hosts, locked := lockHostsOfService(s, target)
	if !locked {
		unlockLoad()
		return nil, soak.ErrTargetLocked
	}
	s.UpdateRoutes(func(map[netip.AddrPort]string) {})
	time.Sleep(changeTime)
	restart, err := killWatcher(ctx, s)
	if err != nil {
		unlockHosts(hosts)
		unlockLoad()
		return nil, err
	}
	for _, h := range hosts {
		s.Store.Delete("servers/" + h.host.ID)
		s.Checker.RecordDraining(time.Now(), h.host.ID)
	}
	return func() error {
		defer unlockLoad()
		time.Sleep(minWithoutHosts)
		err := restart()
		for _, h := range hosts {
			err = errors.CombineErrors(err, h.replace(s))
		}
		time.Sleep(minDrainTime)
		for _, h := range hosts {
			s.Checker.RecordHostStop(h.host.ID)
			h.host.Close()
		}
		return err
	}, nil
}

// lockedHost is a host whose replica is reserved for the fault.
type lockedHost struct {
	replica *soak.Replica
	host    *platformsim.Host
	unlock  func(*platformsim.Host)
}

// replace starts a new host for the replica and releases the replica.
func (h *lockedHost) replace(s *soak.Site) error {
	successor, err := s.NewHost(h.replica.Service, h.replica.Zone, anyPort)
	if err != nil {
		h.unlock(h.host)
		return err
	}
	h.unlock(successor)
	return nil
}

// lockHostsOfService reserves all hosts of a service, or none of them if another fault has reserved
// one.
func lockHostsOfService(s *soak.Site, service int) (hosts []lockedHost, locked bool) {
	count := s.Settings.Size.Hosts
	for index := service * count; index < (service+1)*count; index++ {
		replica, host, unlock, locked := s.LockReplica(index)
		if !locked {
			unlockHosts(hosts)
			return nil, false
		}
		hosts = append(hosts, lockedHost{replica, host, unlock})
	}
	return hosts, true
}

// unlockHosts releases hosts that stay as they are.
func unlockHosts(hosts []lockedHost) {
	for _, h := range hosts {
		h.unlock(h.host)
	}
}

// killWatcher kills the balancers that read the store for the others. It returns a function that
// starts them again. Balancers that another fault has reserved are left out.
func killWatcher(ctx context.Context, s *soak.Site) (restart func() error, err error) {
	var restarts []func() error
	for index, n := range s.Nodes {
		if !n.IsWatcher(ctx) {
			continue
		}
		restart, err := killNode.Inject(ctx, s, index)
		if errors.Is(err, soak.ErrTargetLocked) {
			continue
		}
		if err != nil {
			return nil, errors.CombineErrors(err, runConcurrently(restarts))
		}
		restarts = append(restarts, restart)
	}
	return func() error { return runConcurrently(restarts) }, nil
}
