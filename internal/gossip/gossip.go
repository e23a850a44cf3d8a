// Package gossip disseminates placements between load balancer nodes and reports which versions are
// in force. It is a deterministic core without I/O, clock or global randomness.
//
// A node announces the version of a new placement to a few random nodes for a few rounds (rumour
// mongering with feedback; Demers et al., PODC 1987). A node that lacks the version requests the
// document, so that each node receives it about once. Probes carry a digest of all versions: if the
// digests of two nodes differ for some time, the nodes compare the hashes of groups of services and
// exchange the placements that differ (anti-entropy). A starting node requests the groups from
// several peers at once. None of this needs the store.
//
// Each node reports its adoptions to the reporters of its zone. These report the versions that are
// in force at all live nodes of the zone to the reporters of all zones, which are the publishers.
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

// Settings configures the gossip of a node. Zero values are not valid; see DefaultSettings.
type Settings struct {
	Self lb.NodeID
	Zone lb.Zone
	// Seed determines the node's random choices.
	Seed uint64
	// Validate returns an error for an inconsistent document.
	Validate func(*lb.Placement) error
	// Fanout is the number of nodes that receive each announcement: one of another zone, the others
	// of the local zone.
	Fanout int
	// RoundInterval is the time between rounds of announcements.
	RoundInterval time.Duration
	// RequestTimeout is how long the answer to a request may take before the node requests the
	// document from another node.
	RequestTimeout time.Duration
	// StableInterval is how long digests must differ, without changes, before an anti-entropy
	// exchange starts. It is also the minimum interval between exchanges.
	StableInterval time.Duration
	// SnapshotPeers is the number of peers from which a starting node requests placements at once.
	SnapshotPeers int
	// ReportInterval is the maximum time between two reports of a node.
	ReportInterval time.Duration
	// ReportRepeatInterval is the time after which a node repeats a report of a new adoption.
	ReportRepeatInterval time.Duration
	// ContactTimeout is the time without any message from a peer after which contact is lost.
	ContactTimeout time.Duration
	// AloneTimeout is how long a node that has lost all other members remains without contact
	// before it counts as the only node.
	AloneTimeout time.Duration
}

// DefaultSettings returns the default settings of a node.
func DefaultSettings(self lb.NodeID, zone lb.Zone, seed uint64) Settings {
	return Settings{
		Self:                 self,
		Zone:                 zone,
		Seed:                 seed,
		Validate:             placement.Validate,
		Fanout:               3,
		RoundInterval:        200 * time.Millisecond,
		RequestTimeout:       400 * time.Millisecond,
		StableInterval:       time.Second,
		SnapshotPeers:        4,
		ReportInterval:       2 * time.Second,
		ReportRepeatInterval: 400 * time.Millisecond,
		ContactTimeout:       3 * time.Second,
		AloneTimeout:         60 * time.Second,
	}
}

// check returns an error for the first invalid value.
func (settings *Settings) check() error {
	if settings.Self == "" || settings.Zone == "" {
		return errors.Newf("gossip: self %q or zone %q is empty", settings.Self, settings.Zone)
	}
	if settings.Validate == nil {
		return errors.New("gossip: Validate is nil")
	}
	if settings.Fanout <= 0 || settings.SnapshotPeers <= 0 || settings.SnapshotPeers > Groups {
		return errors.Newf("gossip: fanout %d or snapshot peers %d out of range", settings.Fanout, settings.SnapshotPeers)
	}
	durations := []struct {
		name  string
		value time.Duration
	}{
		{"round interval", settings.RoundInterval},
		{"request timeout", settings.RequestTimeout},
		{"stable interval", settings.StableInterval},
		{"report interval", settings.ReportInterval},
		{"report repeat interval", settings.ReportRepeatInterval},
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

// Member is a node that the membership protocol considers alive.
type Member struct {
	ID      lb.NodeID
	Zone    lb.Zone
	Leaving bool
}

// Event is one input of the core. At most one of its fields is set. An event without fields is a
// tick, which is due every TickInterval.
type Event struct {
	// Placements are documents from the store, or published by this node. They must not be changed
	// afterwards.
	Placements []*lb.Placement
	// Peer is a message from another node: a Ping, PingAck, Digest, VersionList, Placements or
	// InForce. Any other message only counts as contact.
	Peer *PeerEvent
	// Members lists all nodes that are considered alive, including this node.
	Members []Member
	// ConfigRevision is a store revision: the placements passed so far reflect every configuration
	// change up to it.
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

// ContactChange reports that contact with peers was lost or regained.
type ContactChange uint8

// These are the changes of contact. A node starts without contact.
const (
	ContactUnchanged ContactChange = iota
	ContactLost
	ContactRegained
)

// Effects receives the results of one Step. The caller reuses it; Step resets it first.
type Effects struct {
	Messages []Outgoing
	// Adopted lists placements that replace an older version or are new. The core shares them, so
	// they must not be changed.
	Adopted []*lb.Placement
	// InForce lists statements on whole zones for the publisher: this node's statement on its own
	// zone, if it is a reporter, and statements of other reporters.
	InForce []message.InForce
	Contact ContactChange
	// Synced is set when this node for the first time has all placements of a peer, or is alone.
	Synced bool
}

// Counters counts rejected input.
type Counters struct {
	Stale            uint64 // placements whose version was not higher
	Invalid          uint64 // inconsistent placements
	NonMemberReports uint64 // reports from nodes that are not members of the reported zone
}
