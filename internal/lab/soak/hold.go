package soak

import (
	"context"
	"net/netip"
	"syscall"
	"time"

	"robinpulley.example/robinpulley/internal/lab/platformsim"
)

// HoldNode gives the node to one fault on its process; false: another has it.
// The function gives it back.
func (s *Site) HoldNode(index int) (n *Node, release func(), held bool) {
	n = s.Nodes[index]
	if !n.mutex.TryLock() {
		return nil, nil, false
	}
	return n, n.mutex.Unlock, true
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(signal syscall.Signal) error { return n.process.Signal(signal) }

// AwaitEnd waits for the end of the node's process and gives its exit code.
func (n *Node) AwaitEnd(ctx context.Context) (int, error) { return n.process.Wait(ctx) }

// AwaitReady waits until the node is ready.
func (n *Node) AwaitReady(ctx context.Context) error { return n.process.Serves(ctx, n.ready) }

// HoldSlot gives a slot and its host to one fault; false: another has it. The
// function gives it back with the host that is in it then.
func (s *Site) HoldSlot(index int) (slot *Slot, host *platformsim.Host, release func(*platformsim.Host), held bool) {
	slot = s.Slots[index]
	if !slot.mutex.TryLock() {
		return nil, nil, nil, false
	}
	return slot, slot.host, func(host *platformsim.Host) {
		slot.host = host
		slot.mutex.Unlock()
	}, true
}

// DisturbAll notes that a fault befalls all nodes. The function notes its end.
func (s *Site) DisturbAll() (end func()) {
	var nodes []netip.AddrPort
	for _, n := range s.Nodes {
		nodes = append(nodes, n.Data)
	}
	return s.Checker.Disturb(nodes...)
}

// calmTime is how long nothing else brings load after a crowd, so that what it has left
// behind is seen.
const calmTime = 1500 * time.Millisecond

// HoldLoad gives the site to one fault that brings load, or takes back ends from it; false:
// another has it. The function notes that it has gone, waits until openings must be served
// again and have been for a while, and gives the site back.
func (s *Site) HoldLoad() (gone func(), held bool) {
	if !s.loading.TryLock() {
		return nil, false
	}
	calm := s.Checker.Crowd()
	return func() {
		calm()
		if settle := s.Settings.Bounds.Settle; settle > 0 {
			time.Sleep(settle + calmTime)
		}
		s.loading.Unlock()
	}, true
}

// Crowd has callers of a zone ask several times as much. The function ends that.
func (s *Site) Crowd(zone int) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.crowd(ctx, zone)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// MoveCallers has those of a zone go to the nodes of another one, with the flows that they
// have open. The function moves them back.
func (s *Site) MoveCallers(from, to int) (back func()) {
	s.callers[from].SetZone(s.zone(to))
	return func() { s.callers[from].SetZone(s.zone(from)) }
}
