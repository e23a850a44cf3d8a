package dataplane

import (
	"net/netip"
	"sync"

	"robinpulley.example/robinpulley/internal/lb"
)

// Guard is the last check before a packet is written to a host: the host must belong to the service
// that has the packet's front end. The guard does not use the tables and records from which the
// host was chosen, so that no fault in them can send a packet to another service. It is safe for
// concurrent use.
type Guard struct {
	lock     sync.RWMutex
	services map[lb.ServiceName]*guardedService
	// frontends maps each front end to the service that last listed it.
	frontends map[lb.FrontendKey]*guardedService
}

// guardedService holds the front ends and hosts of one service.
type guardedService struct {
	version   lb.Version
	frontends []lb.FrontendKey
	hosts     map[netip.AddrPort]struct{}
}

// NewGuard returns a guard without services, which allows no packet.
func NewGuard() *Guard {
	return &Guard{
		services:  make(map[lb.ServiceName]*guardedService),
		frontends: make(map[lb.FrontendKey]*guardedService),
	}
}

// Set applies a placement unless the guard has a newer one of the same service. It must be called
// before the core applies the placement.
func (guard *Guard) Set(placement *lb.Placement) {
	guard.lock.Lock()
	defer guard.lock.Unlock()
	previous := guard.services[placement.Service]
	if previous != nil && placement.Version < previous.version {
		return
	}
	service := newGuardedService(placement)
	guard.services[placement.Service] = service
	guard.releaseFrontends(previous)
	for _, key := range service.frontends {
		guard.frontends[key] = service
	}
}

// releaseFrontends removes the front ends that still belong to the service.
func (guard *Guard) releaseFrontends(service *guardedService) {
	if service == nil {
		return
	}
	for _, key := range service.frontends {
		if guard.frontends[key] == service {
			delete(guard.frontends, key)
		}
	}
}

func newGuardedService(placement *lb.Placement) *guardedService {
	service := &guardedService{
		version: placement.Version,
		hosts:   make(map[netip.AddrPort]struct{}, len(placement.Backends)),
	}
	if placement.Deleted {
		return service
	}
	for _, frontend := range placement.Frontends {
		service.frontends = append(service.frontends, frontend.Key())
	}
	for _, backend := range placement.Backends {
		service.hosts[unmapped(backend.Host)] = struct{}{}
	}
	return service
}

func unmapped(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// Allows reports whether a packet of the flow may be sent to the host.
func (guard *Guard) Allows(flow *lb.FlowKey, host netip.AddrPort) bool {
	key := flow.Frontend()
	guard.lock.RLock()
	defer guard.lock.RUnlock()
	service, found := guard.frontends[key]
	if !found {
		return false
	}
	_, allowed := service.hosts[unmapped(host)]
	return allowed
}
