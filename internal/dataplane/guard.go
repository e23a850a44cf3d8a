package dataplane

import (
	"net/netip"
	"sync"

	"robinpulley.example/robinpulley/internal/lb"
)

// Guard is the last check before a packet is written to a host: the host must
// be one of the service that has the packet's front end. It is kept apart from
// the tables and records by which the host was chosen, so that no fault in
// those sends a packet to another service. It is safe for concurrent use.
type Guard struct {
	lock     sync.RWMutex
	services map[lb.ServiceName]*guardedService
	// frontends leads to the service that claimed the front end last.
	frontends map[lb.FrontendKey]*guardedService
}

// guardedService is what the guard knows of one service.
type guardedService struct {
	version   lb.Version
	frontends []lb.FrontendKey
	hosts     map[netip.AddrPort]struct{}
}

// NewGuard gives a guard that knows no service and allows nothing.
func NewGuard() *Guard {
	return &Guard{
		services:  make(map[lb.ServiceName]*guardedService),
		frontends: make(map[lb.FrontendKey]*guardedService),
	}
}

// Set takes in a placement, unless a newer one of its service is known. It is
// to be called before the core adopts the placement.
func (guard *Guard) Set(placement *lb.Placement) {
	guard.lock.Lock()
	defer guard.lock.Unlock()
	before := guard.services[placement.Service]
	if before != nil && placement.Version < before.version {
		return
	}
	service := newGuardedService(placement)
	guard.services[placement.Service] = service
	guard.release(before)
	for _, key := range service.frontends {
		guard.frontends[key] = service
	}
}

// release drops the front ends that still lead to the service.
func (guard *Guard) release(service *guardedService) {
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

// Allows tells whether a packet of the flow may go to the host.
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
