// Package config reads and checks the settings of one balancer: a YAML file
// whose fields flags may override. Reading is strict. Every problem is
// reported, at once, with the field, its value and its line.
package config

import (
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

// Settings are the checked settings of one balancer.
type Settings struct {
	Node   lb.NodeID
	Zone   lb.Zone
	Region string

	// Affinity is how later packets of a flow find its back end.
	Affinity core.Affinity
	// Admission is which openings are let in under overload (AffinityToken).
	Admission Admission
	// Waiting is what becomes of openings that admission turns away (AffinityToken).
	Waiting Waiting

	// DataAddress receives Geneve over UDP from the fabric and from peers.
	DataAddress netip.AddrPort
	// ControlAddress is the endpoint for peers, UDP and TCP on one port.
	ControlAddress netip.AddrPort
	// AdminAddress serves metrics, health and debugging over HTTP.
	AdminAddress netip.AddrPort
	// FabricReplyAddresses are the fabric's endpoints that take refusals; empty
	// with AffinityToken, where answers go to the caller.
	FabricReplyAddresses []netip.AddrPort

	// StoreEndpoints are base URLs of the store's JSON gateway, or, with
	// AffinityToken, of the platform's store.
	StoreEndpoints []string
	// MachinesURL is the platform's list of live and leaving machines; empty: none.
	MachinesURL string
	// Seeds are control addresses of peers to ask first.
	Seeds []netip.AddrPort

	LogLevel            string
	AllowFaultInjection bool

	Limits  Limits
	Timings Timings
	Health  Health
}

// Admission is how openings are let in while back ends have too much work.
type Admission string

// The ways of admission.
const (
	// AdmissionAdaptive refuses openings by priority, as package overload does.
	AdmissionAdaptive Admission = "adaptive"
	// AdmissionOff lets in everything.
	AdmissionOff Admission = "off"
)

// Waiting is what becomes of openings for which there is no room just now.
type Waiting string

// The ways of waiting.
const (
	// WaitingPriority holds first copies for a part of their objective, as package
	// waiting does, and lets the more important go first.
	WaitingPriority Waiting = "priority"
	// WaitingOff refuses them at once.
	WaitingOff Waiting = "off"
)

// Limits bound what the balancer sends.
type Limits struct {
	// ControlBytesPerSecond bounds all messages to peers.
	ControlBytesPerSecond int
	// PinBytesPerSecond bounds pins and confirmations, a part of the former.
	PinBytesPerSecond int
	// ColdOverage and ColdSlack give what a back end that has just started may get in a
	// second, over all nodes: what it says it bears times ColdOverage, and ColdSlack new
	// flows on top (AffinityToken).
	ColdOverage float64
	ColdSlack   float64
}

// Timings are the times of the protocol (docs/DESIGN.md, "The chain").
type Timings struct {
	// OpeningHold is how long callers retransmit one opening at most.
	OpeningHold time.Duration
	// IdleTimeout ends flows without packets.
	IdleTimeout time.Duration
	// PinLifetime bounds forwarding by a pin without asking again.
	PinLifetime time.Duration
	// PrepareLimit bounds the wait for lagging nodes before a change commits.
	PrepareLimit time.Duration
	// ChangeLimit is the time in which a change must be in force (AffinityToken).
	ChangeLimit time.Duration
	// LeaveLimit is the time after which a back end that leaves gets no new flow (AffinityToken).
	LeaveLimit time.Duration
	// EvacuationLimit is the time after which no back end of an evacuated zone gets a new flow (AffinityToken).
	EvacuationLimit time.Duration
	// PauseLimit is the gap between steps after which the node distrusts its view.
	PauseLimit time.Duration
	// RetryAfter is the base of the time to come back given with refusals.
	RetryAfter time.Duration
	// DrainGrace is how long the fabric must be silent before a planned stop ends.
	DrainGrace time.Duration
	// DrainLimit ends a planned stop even when the fabric still sends.
	DrainLimit time.Duration
}

// Health sets the probing of back ends.
type Health struct {
	Enabled  bool
	Interval time.Duration
	Timeout  time.Duration
}

// Overrides are the settings that flags may give; an empty one leaves the
// file's value alone.
type Overrides struct {
	Node                string
	Zone                string
	Region              string
	DataAddress         string
	ControlAddress      string
	AdminAddress        string
	FabricReply         []string
	StoreEndpoints      []string
	MachinesURL         string
	Seeds               []string
	LogLevel            string
	AllowFaultInjection bool
}
