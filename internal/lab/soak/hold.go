package soak

import (
	"context"
	"net/netip"
	"syscall"

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
