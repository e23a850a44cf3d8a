package controller

import (
	"cmp"
	"container/heap"
	"time"
)

// queueKind identifies one of the queues in which a service can be scheduled.
type queueKind int

const (
	queueUrgent queueKind = iota
	queueBackground
	queueDeadline
	queueCount
)

// queueEntry is the entry of one service in one queue.
type queueEntry struct {
	at        time.Duration
	heapIndex int // 1-based position in the heap; 0: not in the queue
}

// dueQueue is a priority queue of services, ordered by due time and then by name. A queue contains
// a service at most once, with the earliest time for which it was scheduled.
type dueQueue struct {
	kind queueKind
	heap dueHeap
}

// schedule adds the service to the queue, or lowers its due time if it is in the queue already.
func (q *dueQueue) schedule(service *service, at time.Duration) {
	entry := &service.queueEntries[q.kind]
	if entry.heapIndex == 0 {
		entry.at = at
		q.heap.kind = q.kind
		heap.Push(&q.heap, service)
		return
	}
	if at < entry.at {
		entry.at = at
		heap.Fix(&q.heap, entry.heapIndex-1)
	}
}

// remove deletes the service from the queue if it is in it.
func (q *dueQueue) remove(service *service) {
	if position := service.queueEntries[q.kind].heapIndex; position != 0 {
		heap.Remove(&q.heap, position-1)
	}
}

// pop removes and returns the service with the earliest due time. It returns nil if the queue is
// empty or that time is after now.
func (q *dueQueue) pop(now time.Duration) *service {
	if len(q.heap.services) == 0 || q.heap.services[0].queueEntries[q.kind].at > now {
		return nil
	}
	return heap.Pop(&q.heap).(*service)
}

// dueHeap implements heap.Interface for dueQueue.
type dueHeap struct {
	kind     queueKind
	services []*service
}

func (h *dueHeap) Len() int { return len(h.services) }

func (h *dueHeap) Less(i, j int) bool {
	a, b := h.services[i], h.services[j]
	if order := cmp.Compare(a.queueEntries[h.kind].at, b.queueEntries[h.kind].at); order != 0 {
		return order < 0
	}
	return a.name < b.name
}

func (h *dueHeap) Swap(i, j int) {
	h.services[i], h.services[j] = h.services[j], h.services[i]
	h.services[i].queueEntries[h.kind].heapIndex = i + 1
	h.services[j].queueEntries[h.kind].heapIndex = j + 1
}

func (h *dueHeap) Push(value any) {
	service := value.(*service)
	h.services = append(h.services, service)
	service.queueEntries[h.kind].heapIndex = len(h.services)
}

func (h *dueHeap) Pop() any {
	last := len(h.services) - 1
	service := h.services[last]
	h.services[last] = nil
	h.services = h.services[:last]
	service.queueEntries[h.kind].heapIndex = 0
	return service
}
