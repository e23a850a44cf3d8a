// Package member implements the membership protocol of the load balancer nodes: SWIM (Das, Gupta
// and Motivala, DSN 2002) with suspicion and incarnations, extended by zones. It is a deterministic
// core without I/O, clock or global randomness; see docs/DESIGN.md.
//
// Once per ProbeInterval, each node probes its successor on the hash ring of its zone, a random
// node of its zone, and a node of another zone, with the other zones in turn. The cost per node
// therefore does not depend on the size of the fleet. Updates are piggybacked on probes. New
// updates are also sent in a few additional messages within a byte budget.
package member

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// Machine is the name, zone and addresses of a load balancer node, as the platform lists them.
type Machine struct {
	ID      lb.NodeID
	Zone    lb.Zone
	Control netip.AddrPort // UDP and TCP
	Data    netip.AddrPort // Geneve over UDP
}

// Member is a load balancer node that this node considers alive.
type Member struct {
	Machine
	Leaving     bool
	Incarnation uint64 // zero while the node is known only from the list of machines
}

// Settings configures the membership protocol. Zero values are not valid; see DefaultSettings.
type Settings struct {
	Self Machine
	// Incarnation must be higher than the incarnation of any earlier instance with the same name:
	// the start time in milliseconds.
	Incarnation uint64
	// Seed determines the node's random choices.
	Seed uint64
	// ProbeInterval is the time between probes of the same kind.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct answer may take, IndirectTimeout how much longer an answer
	// through other nodes may take.
	ProbeTimeout, IndirectTimeout time.Duration
	// IndirectProbes is the number of nodes that probe on behalf of this node.
	IndirectProbes int
	// SuspicionTimeout is the time within which a suspect node can refute the suspicion.
	SuspicionTimeout time.Duration
	// RumourInterval is the time between additional messages while there are new updates.
	RumourInterval time.Duration
	// RumourFanout is the number of nodes that receive a message at each RumourInterval.
	RumourFanout int
	// RumourBytesPerSecond limits these additional messages, and the updates piggybacked on other
	// messages.
	RumourBytesPerSecond int
	// PauseLimit is the maximum gap between steps. After a longer gap, this node attributes missing
	// answers to its own pause.
	PauseLimit time.Duration
	// MachinePingInterval is the time between pings to listed machines that are not members.
	MachinePingInterval time.Duration
	// SyncInterval is the minimum time between requests for a peer's full member list after this
	// node has joined.
	SyncInterval time.Duration
	// DeadRetention is how long the entry of a dead node is kept.
	DeadRetention time.Duration
}

// DefaultSettings returns the default settings of a node.
func DefaultSettings(self Machine, incarnation, seed uint64) Settings {
	return Settings{
		Self:                 self,
		Incarnation:          incarnation,
		Seed:                 seed,
		ProbeInterval:        time.Second,
		ProbeTimeout:         300 * time.Millisecond,
		IndirectTimeout:      400 * time.Millisecond,
		IndirectProbes:       3,
		SuspicionTimeout:     1200 * time.Millisecond,
		RumourInterval:       200 * time.Millisecond,
		RumourFanout:         3,
		RumourBytesPerSecond: 3000,
		PauseLimit:           500 * time.Millisecond,
		MachinePingInterval:  time.Second,
		SyncInterval:         15 * time.Second,
		DeadRetention:        10 * time.Minute,
	}
}

// Validate returns an error for the first invalid value.
func (settings *Settings) Validate() error {
	if settings.Self.ID == "" || settings.Self.Zone == "" {
		return errors.Newf("member: self %+v has no name or no zone", settings.Self)
	}
	if !settings.Self.Control.IsValid() || !settings.Self.Data.IsValid() {
		return errors.Newf("member: self %+v has no control or no data address", settings.Self)
	}
	if settings.Incarnation == 0 {
		return errors.New("member: incarnation is zero")
	}
	durations := []struct {
		name  string
		value time.Duration
	}{
		{"probe interval", settings.ProbeInterval},
		{"probe timeout", settings.ProbeTimeout},
		{"indirect timeout", settings.IndirectTimeout},
		{"suspicion timeout", settings.SuspicionTimeout},
		{"rumour interval", settings.RumourInterval},
		{"pause limit", settings.PauseLimit},
		{"machine ping interval", settings.MachinePingInterval},
		{"sync interval", settings.SyncInterval},
		{"dead retention", settings.DeadRetention},
	}
	for _, duration := range durations {
		if duration.value <= 0 {
			return errors.Newf("member: %s %s is not positive", duration.name, duration.value)
		}
	}
	if settings.IndirectProbes < 0 || settings.RumourFanout <= 0 || settings.RumourBytesPerSecond <= 0 {
		return errors.Newf("member: indirect probes %d, rumour fanout %d or rumour bytes %d out of range",
			settings.IndirectProbes, settings.RumourFanout, settings.RumourBytesPerSecond)
	}
	return nil
}

// Event is one input of the core. At most one of its fields is set. An event without fields is a
// tick, which is due every TickInterval.
type Event struct {
	// Peer is a message from another node: a Ping, PingAck, PingReq or Members.
	Peer *PeerEvent
	// Machines replaces the platform's list of machines. It may include this node.
	Machines []Machine
	// Leave announces the planned stop of this node.
	Leave bool
	// Stop announces that this node stops now, so that other nodes need not detect it.
	Stop bool
}

// PeerEvent is a message from another node.
type PeerEvent struct {
	From    lb.NodeID
	Address netip.AddrPort // invalid if the message arrived over TCP from an unknown sender
	Message message.Message
}

// Outgoing is a message to another node.
type Outgoing struct {
	To      lb.NodeID
	Address netip.AddrPort
	Message message.Message
}

// Effects receives the results of one Step. The caller reuses it; Step resets it first.
type Effects struct {
	Messages []Outgoing
	Batches  []Batch
	// Changed is set if Members returns another list than before. Only ticks set it.
	Changed bool
	// Rejoined is set if this node, or a whole zone, had been missing from the views of the others.
	// Until this node has synchronized again, it may not know what the others have decided
	// meanwhile.
	Rejoined bool
	// Replaced is set if a later instance with the same name is alive at another address. This
	// instance sends no more messages and must stop.
	Replaced bool
}

// TickInterval is the time between two ticks.
const TickInterval = 100 * time.Millisecond
