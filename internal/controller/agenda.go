package controller

import (
	"cmp"
	"container/heap"
	"time"
)

// slot numbers the agendas that a service can be on.
type slot int

const (
	slotUrgent slot = iota
	slotBackground
	slotDeadline
	slotCount
)

// place is a service's entry on one agenda.
type place struct {
	at       time.Duration
	position int // 1-based position in the heap; 0: not on the agenda
}

// agenda orders services by the time at which they are to be considered, and
// by name. A service is on it once, with the earliest time asked for.
type agenda struct {
	slot    slot
	entries agendaHeap
}

// put adds the service, or brings it forward.
func (a *agenda) put(service *service, at time.Duration) {
	entry := &service.places[a.slot]
	if entry.position == 0 {
		entry.at = at
		a.entries.slot = a.slot
		heap.Push(&a.entries, service)
		return
	}
	if at < entry.at {
		entry.at = at
		heap.Fix(&a.entries, entry.position-1)
	}
}

// remove takes the service off.
func (a *agenda) remove(service *service) {
	if position := service.places[a.slot].position; position != 0 {
		heap.Remove(&a.entries, position-1)
	}
}

// pop takes off the service with the earliest time, unless that is after now.
func (a *agenda) pop(now time.Duration) *service {
	if len(a.entries.services) == 0 || a.entries.services[0].places[a.slot].at > now {
		return nil
	}
	return heap.Pop(&a.entries).(*service)
}

// agendaHeap implements heap.Interface.
type agendaHeap struct {
	slot     slot
	services []*service
}

func (h *agendaHeap) Len() int { return len(h.services) }

func (h *agendaHeap) Less(i, j int) bool {
	a, b := h.services[i], h.services[j]
	if order := cmp.Compare(a.places[h.slot].at, b.places[h.slot].at); order != 0 {
		return order < 0
	}
	return a.name < b.name
}

func (h *agendaHeap) Swap(i, j int) {
	h.services[i], h.services[j] = h.services[j], h.services[i]
	h.services[i].places[h.slot].position = i + 1
	h.services[j].places[h.slot].position = j + 1
}

func (h *agendaHeap) Push(value any) {
	service := value.(*service)
	h.services = append(h.services, service)
	service.places[h.slot].position = len(h.services)
}

func (h *agendaHeap) Pop() any {
	last := len(h.services) - 1
	service := h.services[last]
	h.services[last] = nil
	h.services = h.services[:last]
	service.places[h.slot].position = 0
	return service
}
