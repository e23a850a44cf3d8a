package admissionqueue

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// FreeSlots remembers for a short time which back ends have just completed a request, as observed
// by this node. Only one node observes the end of a request, so that no two nodes use the same free
// slot. A slot that is free for one request does not suffice for a flow with many, so FreeSlots
// also measures which flows are short.
type FreeSlots struct {
	settings Settings
	slots    []freeSlot
	next     int
	kinds    map[kindKey]*kind
}

// freeSlot is spare capacity for one request at a back end.
type freeSlot struct {
	service  lb.ServiceName
	identity uint64
	at       time.Duration
	claimed  bool
}

// kindKey identifies a kind of request.
type kindKey struct {
	service   lb.ServiceName
	objective lb.Objective
}

// kind counts the flows of one kind that this node has placed, and the answers to their requests.
// Both are halved after maxFlows flows.
type kind struct {
	flows, requests float64
}

// Bounds of the state.
const (
	// maxFreeSlots is the number of remembered free slots: a node that observes the end of 400
	// requests per second observes 8 within FreeSlotTimeout.
	maxFreeSlots = 16
	// minFlows is the minimum number of flows that shows whether flows are short. After maxFlows
	// flows both counts are halved.
	minFlows, maxFlows = 8, 64
	// maxShortFlowRequests is the maximum mean number of requests on a short flow. It is more than
	// one because other nodes opened some of the flows.
	maxShortFlowRequests = 1.5
	// maxKinds is the maximum number of remembered kinds.
	maxKinds = 256
)

// NewFreeSlots returns a FreeSlots without free slots.
func NewFreeSlots(settings Settings) *FreeSlots {
	free := &FreeSlots{settings: settings, slots: make([]freeSlot, maxFreeSlots), kinds: make(map[kindKey]*kind)}
	for index := range free.slots {
		free.slots[index].claimed = true
	}
	return free
}

// RecordFlow records that this node has placed a flow.
func (f *FreeSlots) RecordFlow(service lb.ServiceName, objective lb.Objective) {
	if f.settings.Off {
		return
	}
	k := f.kind(service, objective)
	k.flows++
	if k.flows >= maxFlows {
		k.flows, k.requests = k.flows/2, k.requests/2
	}
}

// RecordAnswer records that a back end has answered a request and, if spare is true, that the back
// end has spare capacity for another one.
func (f *FreeSlots) RecordAnswer(now time.Duration, service lb.ServiceName, objective lb.Objective, identity uint64, spare bool) {
	if f.settings.Off {
		return
	}
	f.kind(service, objective).requests++
	if !spare {
		return
	}
	f.slots[f.next] = freeSlot{service: service, identity: identity, at: now}
	f.next = (f.next + 1) % len(f.slots)
}

// Claim returns the back end of a service that became free most recently. Each free slot is
// returned once.
func (f *FreeSlots) Claim(now time.Duration, service lb.ServiceName, objective lb.Objective) (identity uint64, found bool) {
	if f.settings.Off || !f.areShort(service, objective) {
		return 0, false
	}
	for step := range f.slots {
		slot := &f.slots[(f.next-1-step+2*len(f.slots))%len(f.slots)]
		if !slot.claimed && slot.service == service && now-slot.at <= f.settings.FreeSlotTimeout {
			slot.claimed = true
			return slot.identity, true
		}
	}
	return 0, false
}

// areShort returns true if the flows of a kind are known to carry one request each.
func (f *FreeSlots) areShort(service lb.ServiceName, objective lb.Objective) bool {
	k := f.kinds[kindKey{service, objective}]
	return k != nil && k.flows >= minFlows && k.requests <= maxShortFlowRequests*k.flows
}

func (f *FreeSlots) kind(service lb.ServiceName, objective lb.Objective) *kind {
	key := kindKey{service, objective}
	counts := f.kinds[key]
	if counts == nil {
		if len(f.kinds) >= maxKinds {
			clear(f.kinds) // reached only after operators changed objectives many times
		}
		counts = &kind{}
		f.kinds[key] = counts
	}
	return counts
}

// Forget deletes the state of all services for which keep returns false.
func (f *FreeSlots) Forget(keep func(lb.ServiceName) bool) {
	for key := range f.kinds {
		if !keep(key.service) {
			delete(f.kinds, key)
		}
	}
}
