// Package config reads and checks the settings of one balancer. They come from a YAML file, whose
// fields can be overridden by flags. Unknown fields are errors. All problems are reported together,
// each with the field, its value and its line.
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

	// Affinity is the mechanism by which later packets of a flow reach its back end.
	Affinity core.Affinity
	// Admission is the mode of admission control for openings under overload (AffinityToken).
	Admission Admission
	// AdmissionQueue is the mode of the admission queue for openings that are not admitted at once
	// (AffinityToken).
	AdmissionQueue AdmissionQueue

	// DataAddress is the endpoint for Geneve over UDP from the fabric and from peers.
	DataAddress netip.AddrPort
	// ControlAddress is the endpoint for control messages of peers, UDP and TCP on the same port.
	ControlAddress netip.AddrPort
	// AdminAddress is the endpoint for metrics, health and debugging over HTTP.
	AdminAddress netip.AddrPort
	// FabricReplyAddresses are the fabric's endpoints that receive refusals. They are not required
	// with AffinityToken, where refusals are sent to the client.
	FabricReplyAddresses []netip.AddrPort

	// StoreEndpoints are the base URLs of the store's JSON gateway, or, with AffinityToken, of the
	// platform's store.
	StoreEndpoints []string
	// MachinesURL is the URL of the platform's list of live and leaving machines; empty: none.
	MachinesURL string
	// Seeds are the control addresses of the peers to contact first.
	Seeds []netip.AddrPort

	LogLevel            string
	AllowFaultInjection bool

	Limits  Limits
	Timings Timings
	Health  Health
}

// Admission is the mode of admission control for openings while back ends are overloaded.
type Admission string

// The modes of admission control.
const (
	// AdmissionAdaptive refuses openings by priority; see package overload.
	AdmissionAdaptive Admission = "adaptive"
	// AdmissionOff admits all openings.
	AdmissionOff Admission = "off"
)

// AdmissionQueue is the mode of the admission queue, for openings that find no spare capacity.
type AdmissionQueue string

// The modes of the admission queue.
const (
	// AdmissionQueuePriority queues the first copy of an opening for a fraction of its objective's
	// target time, in the order of priorities; see package admissionqueue.
	AdmissionQueuePriority AdmissionQueue = "priority"
	// AdmissionQueueOff refuses such openings at once.
	AdmissionQueueOff AdmissionQueue = "off"
)

// Limits bounds the rates of control messages and of new flows at cold back ends.
type Limits struct {
	// ControlBytesPerSecond bounds all messages to peers.
	ControlBytesPerSecond int
	// PinBytesPerSecond bounds pins and confirmations, which also count for ControlBytesPerSecond.
	PinBytesPerSecond int
	// ColdOverage and ColdSlack bound the new flows per second, from all nodes together, of a back
	// end that has just started: the capacity that it reports times ColdOverage, plus ColdSlack
	// (AffinityToken).
	ColdOverage float64
	ColdSlack   float64
}

// Timings holds the timeouts and limits of the protocol (docs/DESIGN.md, "The chain").
type Timings struct {
	// OpeningHold is the maximum time for which clients retransmit one opening.
	OpeningHold time.Duration
	// IdleTimeout is the time after which a flow without packets ends.
	IdleTimeout time.Duration
	// PinLifetime is the maximum time for which a pin is used before it is requested again.
	PinLifetime time.Duration
	// PrepareLimit is the maximum wait for lagging nodes before a change is committed.
	PrepareLimit time.Duration
	// ChangeLimit is the time within which a change must be in force (AffinityToken).
	ChangeLimit time.Duration
	// LeaveLimit is the time after which a leaving back end gets no new flows (AffinityToken).
	LeaveLimit time.Duration
	// EvacuationLimit is the time after which the back ends of an evacuated zone get no new flows
	// (AffinityToken).
	EvacuationLimit time.Duration
	// PauseLimit is the gap between steps after which the node treats its view as stale.
	PauseLimit time.Duration
	// RetryAfter is the base of the retry delay that refusals contain.
	RetryAfter time.Duration
	// DrainGrace is the time without packets from the fabric after which a planned stop ends.
	DrainGrace time.Duration
	// DrainLimit is the time after which a planned stop ends even if the fabric still sends
	// packets.
	DrainLimit time.Duration
}

// Health holds the settings of the health probes of back ends.
type Health struct {
	Enabled  bool
	Interval time.Duration
	Timeout  time.Duration
}

// Overrides holds the settings that flags can override. An empty one leaves the file's value
// unchanged.
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
