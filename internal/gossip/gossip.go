// Package gossip spreads placements between balancers and reports what is in
// force. It is a deterministic core without I/O, clock or global randomness.
//
// A new placement is announced by its version to a few random nodes for a few
// rounds (rumour mongering with feedback; Demers et al., PODC 1987); who lacks
// it asks for the document, so that each node gets it about once. Probes carry
// a digest of all versions: where it differs for long, two nodes compare
// hashes of groups of services and exchange what differs (anti-entropy). A
// starting node asks several peers for the groups at once. All of it works
// without the store.
//
// Each node tells the reporters of its zone what it has adopted; they tell the
// reporters of all zones, which publish, what is in force at all live nodes.
package gossip

import (
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/placement"
)

// Groups is the number of groups that services are hashed into.
const Groups = 64

// TickInterval is the time between two ticks.
const TickInterval = 100 * time.Millisecond

// Settings of the gossip. Zero values are not valid; see DefaultSettings.
type Settings struct {
	Self lb.NodeID
	Zone lb.Zone
	// Seed of the node's random choices.
	Seed uint64
	// Validate refuses documents that do not make sense.
	Validate func(*lb.Placement) error
	// Fanout is the number of nodes told of news at once: one of another
	// zone, the others of the own.
	Fanout int
	// RoundInterval is the time between rounds of announcements.
	RoundInterval time.Duration
	// AskTimeout is how long an answer may take before another node is asked.
	AskTimeout time.Duration
	// CalmInterval is how long digests must differ without change before
	// anti-entropy begins; it is also its pace.
	CalmInterval time.Duration
	// SnapshotPeers is the number of peers that a starting node asks at once.
	SnapshotPeers int
	// ReportInterval is the longest time between two reports of a node.
	ReportInterval time.Duration
	// ReportRepeat is the time after which news is reported again.
	ReportRepeat time.Duration
	// ContactTimeout without any message from a peer means lost contact.
	ContactTimeout time.Duration
	// AloneTimeout is how long a node that sees no other distrusts its view.
	AloneTimeout time.Duration
}

// DefaultSettings gives the defaults for a node.
func DefaultSettings(self lb.NodeID, zone lb.Zone, seed uint64) Settings {
	return Settings{
		Self:           self,
		Zone:           zone,
		Seed:           seed,
		Validate:       placement.Validate,
		Fanout:         3,
		RoundInterval:  200 * time.Millisecond,
		AskTimeout:     400 * time.Millisecond,
		CalmInterval:   time.Second,
		SnapshotPeers:  4,
		ReportInterval: 2 * time.Second,
		ReportRepeat:   400 * time.Millisecond,
		ContactTimeout: 3 * time.Second,
		AloneTimeout:   60 * time.Second,
	}
}

// check names the first value that cannot be used.
func (settings *Settings) check() error {
	if settings.Self == "" || settings.Zone == "" {
		return errors.Newf("gossip: self %q or zone %q is empty", settings.Self, settings.Zone)
	}
	if settings.Validate == nil {
		return errors.New("gossip: Validate is not set")
	}
	if settings.Fanout <= 0 || settings.SnapshotPeers <= 0 || settings.SnapshotPeers > Groups {
		return errors.Newf("gossip: fanout %d or snapshot peers %d out of range", settings.Fanout, settings.SnapshotPeers)
	}
	durations := []struct {
		name  string
		value time.Duration
	}{
		{"round interval", settings.RoundInterval},
		{"ask timeout", settings.AskTimeout},
		{"calm interval", settings.CalmInterval},
		{"report interval", settings.ReportInterval},
		{"report repeat", settings.ReportRepeat},
		{"contact timeout", settings.ContactTimeout},
		{"alone timeout", settings.AloneTimeout},
	}
	for _, duration := range durations {
		if duration.value <= 0 {
			return errors.Newf("gossip: %s %s is not positive", duration.name, duration.value)
		}
	}
	return nil
}

// Member is a node that the membership takes as alive.
type Member struct {
	ID      lb.NodeID
	Zone    lb.Zone
	Leaving bool
}

// Event is one input. At most one of its fields is set; none makes a tick,
// which is due every TickInterval.
type Event struct {
	// Placements from the store, or published by this node. They must not be
	// changed afterwards.
	Placements []*lb.Placement
	// Peer is a Ping, PingAck, Digest, Want, Placements or InForce. Any other
	// message counts as contact only.
	Peer *PeerEvent
	// Members are all nodes taken as alive, self included.
	Members []Member
	// ConfigRevision tells that every configuration change up to this store
	// revision is reflected by the placements given so far.
	ConfigRevision int64
}

// PeerEvent is a message from another node.
type PeerEvent struct {
	From    lb.NodeID
	Message message.Message
}

// Outgoing is a message to another node.
type Outgoing struct {
	To      lb.NodeID
	Message message.Message
}

// ContactChange tells of lost or regained contact with peers.
type ContactChange uint8

// Changes of contact. A node starts without contact.
const (
	ContactUnchanged ContactChange = iota
	ContactLost
	ContactRegained
)

// Effects is filled by one Step. The caller reuses it; Step resets it first.
type Effects struct {
	Messages []Outgoing
	// Adopted are placements with a higher version than before. They are
	// shared with the gossip and must not be changed.
	Adopted []*lb.Placement
	// InForce are statements on whole zones for the publisher: this node's on
	// its own, as a reporter, and those of other reporters.
	InForce []message.InForce
	Contact ContactChange
	// Synced: for the first time this node has all placements of a peer, or
	// is alone.
	Synced bool
}

// Counters count what was not taken.
type Counters struct {
	Stale   uint64 // placements of a version that is not higher
	Refused uint64 // placements that do not make sense
	Unknown uint64 // aggregated reports from nodes that are not members of the zone
}
