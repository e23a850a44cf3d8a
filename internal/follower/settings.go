package follower

import (
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Settings of a follower. See DefaultSettings.
type Settings struct {
	Self lb.NodeID
	Zone lb.Zone
	// Seeds are control addresses asked for a view while there is none.
	Seeds []netip.AddrPort
	// IsSeed: others ask this node.
	IsSeed bool
	// Seed of the random jitter.
	Seed uint64
	// WatchWait is how long a watch waits in the store for a change.
	WatchWait time.Duration
	// CallTimeout bounds the silence of the store in a call, besides WatchWait.
	CallTimeout time.Duration
	// ChangeInterval is the shortest time from an answer with changes to the
	// next watch, so that changes in quick succession cost one call together.
	ChangeInterval time.Duration
	// TakeoverAge is the age of the view at which the first node in turn reads
	// itself, PatienceStep what each further turn adds, up to PatienceLimit.
	TakeoverAge, TakeoverStep, TakeoverAgeLimit time.Duration
	// SlowTakeoverStep is what each turn adds where nothing is urgent: the view is
	// fresh, or others try already and the store fails them.
	SlowTakeoverStep time.Duration
	// SilenceTimeout is the age at which it does so if no node has told of the view since.
	SilenceTimeout time.Duration
	// DigestInterval is the time between digests to the zone.
	DigestInterval time.Duration
	// TreeFanout is how many nodes one node tells of what it has heard.
	TreeFanout int
	// VerifyWait is how long after its start a node at least waits for others to
	// confirm its first view, if there are seeds to ask.
	VerifyWait time.Duration
	// SnapshotWait is how long after its start a node waits at least for a snapshot, or a
	// peer's view, before it lists all entries; SnapshotRetry is the mean time to the
	// second question for a snapshot, which doubles with each further one. Those who read first when a fleet starts do not wait.
	SnapshotWait, SnapshotRetry time.Duration
	// BackoffBase and BackoffLimit bound the time to the next call after a failed one.
	BackoffBase, BackoffLimit time.Duration
}

// DefaultSettings gives the defaults for a node. Together they put a change
// into force within 2.6 s of its acknowledgement even when the reader fails
// at that moment. A step is longer than a read and its telling take (30 to 50 ms).
func DefaultSettings(self lb.NodeID, zone lb.Zone, seed uint64) Settings {
	return Settings{
		Self:           self,
		Zone:           zone,
		Seed:           seed,
		WatchWait:      1500 * time.Millisecond,
		CallTimeout:    700 * time.Millisecond,
		ChangeInterval: 200 * time.Millisecond,
		TakeoverAge:       1700 * time.Millisecond,
		TakeoverStep:   60 * time.Millisecond,
		TakeoverAgeLimit:  2200 * time.Millisecond,
		SlowTakeoverStep:       400 * time.Millisecond,
		SilenceTimeout:   1200 * time.Millisecond,
		DigestInterval: 400 * time.Millisecond,
		TreeFanout:      4,
		VerifyWait:     1500 * time.Millisecond,
		SnapshotWait:   4 * time.Second, // the first reader lists 10,000 entries over 20 Mbit/s in half of it
		SnapshotRetry:  500 * time.Millisecond,
		BackoffBase:    100 * time.Millisecond,
		BackoffLimit:   time.Second,
	}
}

// defaultLimit is the time in which DefaultSettings put a change into force.
const defaultLimit = 3 * time.Second

// maxLimit bounds how far Within stretches the times: a change is then in
// force within 4.8 s (2.6 s of 3 s), and the fleet is to manage within 5 s.
const maxLimit = 5500 * time.Millisecond

// ScaledTo gives settings that put a change into force within a limit: all times
// are shortened or stretched alike, so that a fleet whose users can wait longer
// makes fewer calls. CallTimeout is shortened, too, since a call that is lost must
// end and be made again within the limit, but not stretched, and a node that finds
// the store failing tries again no later than before.
func (settings Settings) ScaledTo(limit time.Duration) Settings {
	limit = min(limit, maxLimit)
	ratio := limit.Seconds() / defaultLimit.Seconds()
	backoffLimit, callTimeout := settings.BackoffLimit, settings.CallTimeout
	for _, duration := range []*time.Duration{
		&settings.WatchWait, &settings.ChangeInterval, &settings.TakeoverAge, &settings.TakeoverStep,
		&settings.TakeoverAgeLimit, &settings.SilenceTimeout, &settings.DigestInterval, &settings.BackoffLimit,
		&settings.CallTimeout,
	} {
		*duration = time.Duration(float64(*duration) * ratio)
	}
	settings.BackoffLimit = min(settings.BackoffLimit, backoffLimit)
	settings.CallTimeout = min(settings.CallTimeout, callTimeout)
	return settings
}
