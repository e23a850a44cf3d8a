package follower

import (
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Settings configures a follower. See DefaultSettings.
type Settings struct {
	Self lb.NodeID
	Zone lb.Zone
	// Seeds are the control addresses to which a node that knows few peers sends requests for the
	// view.
	Seeds []netip.AddrPort
	// IsSeed is set if other nodes use this node as a seed.
	IsSeed bool
	// Seed is the seed of the random jitter.
	Seed uint64
	// WatchWait is how long the store waits for a change during a watch.
	WatchWait time.Duration
	// CallTimeout bounds the time without data from the store during a read, in addition to
	// WatchWait.
	CallTimeout time.Duration
	// ChangeInterval is the minimum time from an answer with changes to the next watch, so that
	// several changes in quick succession take one request.
	ChangeInterval time.Duration
	// TakeoverAge is the age of the view at which the first node in the takeover order reads the
	// store itself. TakeoverStep is added for each further position, up to TakeoverAgeLimit.
	TakeoverAge, TakeoverStep, TakeoverAgeLimit time.Duration
	// OutageAge is the age of the view from which on the store is assumed to have been unreachable.
	// Failures of the nodes that read the store do not let a view become this old, because other
	// nodes take over earlier.
	OutageAge time.Duration
	// SlowTakeoverStep is added for each further position if a takeover is not urgent: the view is
	// current, or other nodes are already trying and the store does not answer them.
	SlowTakeoverStep time.Duration
	// NoUpdateTimeout is the age of the view at which a node reads the store itself if no peer has
	// sent a message about the view for this time.
	NoUpdateTimeout time.Duration
	// DigestInterval is the time between two digests.
	DigestInterval time.Duration
	// TreeFanout is the number of nodes to which one node forwards a message within a zone.
	TreeFanout int
	// VerifyWait is the minimum time after its start for which a node waits for others to verify
	// its first view, if it has seeds to send requests to.
	VerifyWait time.Duration
	// SnapshotWait is the minimum time after its start for which a node waits for a snapshot, or
	// for a peer's view, before it lists all entries. SnapshotRetry is the mean time to the second
	// read of the snapshot, which doubles for each further one. Seeds, and nodes without seeds,
	// read first when a fleet starts, and do not wait.
	SnapshotWait, SnapshotRetry time.Duration
	// BackoffBase and BackoffLimit bound the delay before the next read after a failed one.
	BackoffBase, BackoffLimit time.Duration
}

// DefaultSettings returns the default settings of a node. With them, all nodes know of a change
// within 2.6 s after the store has acknowledged it, even if the designated watcher fails at that
// moment. A time for which nodes go on by the old state after that must fit into the rest of the
// limit, as that of a back end that was deleted without a drain does (steering.Settings).
// TakeoverStep exceeds the time for a read and its dissemination (30 to 50 ms), so that a node
// learns of a takeover before it takes over itself.
func DefaultSettings(self lb.NodeID, zone lb.Zone, seed uint64) Settings {
	return Settings{
		Self:             self,
		Zone:             zone,
		Seed:             seed,
		WatchWait:        1500 * time.Millisecond,
		CallTimeout:      700 * time.Millisecond,
		ChangeInterval:   200 * time.Millisecond,
		TakeoverAge:      1700 * time.Millisecond,
		TakeoverStep:     60 * time.Millisecond,
		TakeoverAgeLimit: 2200 * time.Millisecond,
		OutageAge:        2500 * time.Millisecond,
		SlowTakeoverStep: 400 * time.Millisecond,
		NoUpdateTimeout:  1200 * time.Millisecond,
		DigestInterval:   400 * time.Millisecond,
		TreeFanout:       4,
		VerifyWait:       1500 * time.Millisecond,
		SnapshotWait:     4 * time.Second, // the first node lists 10,000 entries over 20 Mbit/s in half this time
		SnapshotRetry:    500 * time.Millisecond,
		BackoffBase:      100 * time.Millisecond,
		BackoffLimit:     time.Second,
	}
}

// defaultLimit is the time within which DefaultSettings put a change into force.
const defaultLimit = 3 * time.Second

// maxLimit is the largest limit that ScaledTo applies. With it, a change is in force within 4.8 s
// (2.6 s for a limit of 3 s, scaled), and the fleet must put a change into force within 5 s.
const maxLimit = 5500 * time.Millisecond

// ScaledTo returns settings that put a change into force within a limit. It scales the times of
// watches, takeovers, outages, digests and retries by the same ratio, so that a fleet whose users tolerate
// more delay makes fewer requests. CallTimeout is never increased, because a lost request must end
// and be repeated within the limit. BackoffLimit is never increased either, so that retries against
// a failing store do not become slower.
func (settings Settings) ScaledTo(limit time.Duration) Settings {
	limit = min(limit, maxLimit)
	ratio := limit.Seconds() / defaultLimit.Seconds()
	backoffLimit, callTimeout := settings.BackoffLimit, settings.CallTimeout
	for _, duration := range []*time.Duration{
		&settings.WatchWait, &settings.ChangeInterval, &settings.TakeoverAge, &settings.TakeoverStep,
		&settings.TakeoverAgeLimit, &settings.OutageAge, &settings.NoUpdateTimeout, &settings.DigestInterval, &settings.BackoffLimit,
		&settings.CallTimeout,
	} {
		*duration = time.Duration(float64(*duration) * ratio)
	}
	settings.BackoffLimit = min(settings.BackoffLimit, backoffLimit)
	settings.CallTimeout = min(settings.CallTimeout, callTimeout)
	return settings
}
