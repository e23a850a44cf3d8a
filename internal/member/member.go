// Package member implements the membership of balancers: SWIM (Das, Gupta and
// Motivala, DSN 2002) with suspicion and incarnations, by zone. It is a
// deterministic core without I/O, clock or global randomness; see docs/DESIGN.md.
//
// Each node probes the node after it on the hash ring of its zone, a random
// node of its zone and a node of another zone in turn, once per ProbeInterval,
// so that its cost does not depend on the size of the fleet. Updates ride on
// probes and, while they are news, on a few extra messages within a byte budget.
package member

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// Machine is where a balancer runs, as the platform lists it.
type Machine struct {
	ID      lb.NodeID
	Zone    lb.Zone
	Control netip.AddrPort // UDP and TCP
	Data    netip.AddrPort // Geneve over UDP
}

// Member is one balancer that this node takes as alive.
type Member struct {
	Machine
	Leaving     bool
	Incarnation uint64 // zero while only the machine list has told of it
}

// Settings of the membership. Zero values are not valid; see DefaultSettings.
type Settings struct {
	Self Machine
	// Incarnation must be higher than in any earlier run under the same name:
	// the start time in milliseconds.
	Incarnation uint64
	// Seed of the node's random choices.
	Seed uint64
	// ProbeInterval is the time between probes of one kind.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct answer may take, IndirectTimeout how
	// much longer one through other nodes.
	ProbeTimeout, IndirectTimeout time.Duration
	// IndirectProbes is the number of nodes asked to probe in this node's place.
	IndirectProbes int
	// SuspicionTimeout is the time in which a suspect node can refute.
	SuspicionTimeout time.Duration
	// RumourInterval is the time between extra messages while there is news.
	RumourInterval time.Duration
	// RumourFanout is the number of nodes told at each RumourInterval.
	RumourFanout int
	// RumourBytesPerSecond bounds these extra messages, and the updates that
	// ride on others.
	RumourBytesPerSecond int
	// PauseLimit is the gap between steps after which this node blames itself
	// for answers that did not come.
	PauseLimit time.Duration
	// AttemptInterval is the time between attempts to reach listed machines
	// that are not members.
	AttemptInterval time.Duration
	// SyncInterval is the shortest time between requests for a peer's whole
	// membership, once joined.
	SyncInterval time.Duration
	// DeadRetention is how long a dead node is remembered.
	DeadRetention time.Duration
}

// DefaultSettings gives the defaults for a node.
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
		AttemptInterval:      time.Second,
		SyncInterval:         15 * time.Second,
		DeadRetention:        10 * time.Minute,
	}
}

// Validate names the first value that cannot be used.
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
		{"attempt interval", settings.AttemptInterval},
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

// Event is one input. At most one of its fields is set; none makes a tick,
// which is due every TickInterval.
type Event struct {
	// Peer is a Ping, PingAck, PingReq or Members from another node.
	Peer *PeerEvent
	// Machines replaces the platform's list of machines, self included or not.
	Machines []Machine
	// Leave announces the planned stop of this node.
	Leave bool
	// Stop announces that this node ends now: others need not detect it.
	Stop bool
}

// PeerEvent is a message from another node.
type PeerEvent struct {
	From    lb.NodeID
	Address netip.AddrPort // invalid when it came by TCP from an unknown sender
	Message message.Message
}

// Outgoing is a message to another node.
type Outgoing struct {
	To      lb.NodeID
	Address netip.AddrPort
	Message message.Message
}

// Effects is filled by one Step. The caller reuses it; Step resets it first.
type Effects struct {
	Messages []Outgoing
	Batches  []Batch
	// Changed: Members gives another list than before. Set on ticks only.
	Changed bool
	// Rejoined: this node, or a whole zone, had been out of the others' view.
	// What they decided meanwhile may be unknown here until it has resynced.
	Rejoined bool
	// Replaced: a later run under this name is alive at another address. This
	// one has fallen silent and must end.
	Replaced bool
}

// TickInterval is the time between two ticks.
const TickInterval = 100 * time.Millisecond
