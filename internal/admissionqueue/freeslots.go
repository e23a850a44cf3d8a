package admissionqueue

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// FreeSlots remembers for a short time which back ends have just become free, as far
// as this node has seen. The end of a request is seen by one node alone, so that no
// two of them send to the same room. Room for a request is none for a flow that
// brings many: what short flows are is seen, too.
type FreeSlots struct {
	settings Settings
	slots    []freeSlot
	next     int
	kinds    map[kindKey]*kind
}

// freeSlot is one request that a back end can take.
type freeSlot struct {
	service  lb.ServiceName
	identity uint64
	at       time.Duration
	claimed  bool
}

// kindKey names a kind of request.
type kindKey struct {
	service   lb.ServiceName
	objective lb.Objective
}

// kind counts the flows of a kind that this node has placed, and the requests
// whose answers it has seen. Both are halved now and then.
type kind struct {
	flows, requests float64
}

// Bounds of what is remembered.
const (
	// maxFreeSlots are remembered: a node that sees 400 requests end a second sees 8 in RoomLife.
	maxFreeSlots = 16
	// minFlows tell whether flows are short, and mostFlows are counted until both are halved.
	minFlows, maxFlows = 8, 64
	// maxShortFlowRequests is the most requests a flow that a short one brings: one, and some
	// whose opening went through another node.
	maxShortFlowRequests = 1.5
	// maxKinds are remembered.
	maxKinds = 256
)

// NewFreeSlots gives rooms of which none is known.
func NewFreeSlots(settings Settings) *FreeSlots {
	rooms := &FreeSlots{settings: settings, slots: make([]freeSlot, maxFreeSlots), kinds: make(map[kindKey]*kind)}
	for index := range rooms.slots {
		rooms.slots[index].claimed = true
	}
	return rooms
}

// Opened notes that this node has placed a flow.
func (r *FreeSlots) Opened(service lb.ServiceName, objective lb.Objective) {
	if r.settings.Off {
		return
	}
	k := r.kind(service, objective)
	k.flows++
	if k.flows >= maxFlows {
		k.flows, k.requests = k.flows/2, k.requests/2
	}
}

// Answered notes that a back end has answered a request, and, if it was quick,
// that it has room for another.
func (r *FreeSlots) Answered(now time.Duration, service lb.ServiceName, objective lb.Objective, identity uint64, quick bool) {
	if r.settings.Off {
		return
	}
	r.kind(service, objective).requests++
	if !quick {
		return
	}
	r.slots[r.next] = freeSlot{service: service, identity: identity, at: now}
	r.next = (r.next + 1) % len(r.slots)
}

// Claim gives the back end of a service that has become free last, once.
func (r *FreeSlots) Claim(now time.Duration, service lb.ServiceName, objective lb.Objective) (identity uint64, found bool) {
	if r.settings.Off || !r.bringsOneRequest(service, objective) {
		return 0, false
	}
	for step := range r.slots {
		known := &r.slots[(r.next-1-step+2*len(r.slots))%len(r.slots)]
		if !known.claimed && known.service == service && now-known.at <= r.settings.FreeSlotTimeout {
			known.claimed = true
			return known.identity, true
		}
	}
	return 0, false
}

// bringsOneRequest tells whether flows of a kind are known to bring one request.
func (r *FreeSlots) bringsOneRequest(service lb.ServiceName, objective lb.Objective) bool {
	k := r.kinds[kindKey{service, objective}]
	return k != nil && k.flows >= minFlows && k.requests <= maxShortFlowRequests*k.flows
}

func (r *FreeSlots) kind(service lb.ServiceName, objective lb.Objective) *kind {
	key := kindKey{service, objective}
	known := r.kinds[key]
	if known == nil {
		if len(r.kinds) >= maxKinds {
			clear(r.kinds) // operators have changed objectives many times
		}
		known = &kind{}
		r.kinds[key] = known
	}
	return known
}

// Forget drops what is known of services but those to keep.
func (r *FreeSlots) Forget(keep func(lb.ServiceName) bool) {
	for key := range r.kinds {
		if !keep(key.service) {
			delete(r.kinds, key)
		}
	}
}
