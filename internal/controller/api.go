// Package controller decides what placements are published: it takes the
// operators' documents, the placements in the store, reports of what is in
// force, of clean buckets and of load, and gives writes. It does no I/O and has
// no clock. Every watcher of the store runs one; they do not agree on who
// publishes, and safety rests on three rules alone: a write is compare-and-swap
// on the mod revision of the placement it was derived from; it also expects the
// epoch (EpochKey) that its writer has seen; and no publisher writes over a
// placement derived from a later configuration than it has seen.
// See docs/DESIGN.md, "Placement".
package controller

import (
	"time"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/weight"
)

// Settings are the controller's parameters. Zero values are not valid; see DefaultSettings.
type Settings struct {
	Self lb.NodeID
	Zone lb.Zone
	// Run distinguishes this run of the process in write ids.
	Run string
	// IdleTimeout ends flows without packets; it must not be below core.Settings.IdleTimeout.
	IdleTimeout time.Duration
	// SettleMargin is waited beyond IdleTimeout before a generation becomes the base.
	SettleMargin time.Duration
	// PrepareLimit is the longest wait for acknowledgements of a prepared version.
	PrepareLimit time.Duration
	// TakeOverDelay is the advance that a service's publisher has before the next one acts.
	TakeOverDelay time.Duration
	// RestoreDelay is waited before what the store seems to have lost is
	// written again: normally the watch shows it soon.
	RestoreDelay time.Duration
	// RetryDelay is waited after a write that failed.
	RetryDelay time.Duration
	// WriteTimeout is the longest wait for a write's result before it is read back.
	WriteTimeout time.Duration
	// ReadRetry is waited after a read back that failed.
	ReadRetry time.Duration
	// ClearInterval gathers reports of clean buckets.
	ClearInterval time.Duration
	// WeightInterval is the least time between two weight steps of a service.
	WeightInterval time.Duration
	// MovedPerMinute bounds the buckets of a service that weight steps move.
	MovedPerMinute int
	// FailedHold is how long a failed back end stays out at least.
	FailedHold time.Duration
	// MaxOutstanding bounds the writes without a result, MaxBackground those
	// that are not for an operator's change.
	MaxOutstanding int
	MaxBackground  int
	// StatusInterval is the least time between two reports of the zone's state.
	StatusInterval time.Duration
	// InForce, when set, gives the placement that this node has in force for a
	// service, or nil: from a peer, it may be newer than what the store has kept.
	InForce func(lb.ServiceName) *lb.Placement
	Weights weight.Settings
}

// DefaultSettings gives the defaults for a node. Run is random, chosen once per process.
func DefaultSettings(self lb.NodeID, zone lb.Zone, run string) Settings {
	return Settings{
		Self:           self,
		Zone:           zone,
		Run:            run,
		IdleTimeout:    300 * time.Second,
		SettleMargin:   10 * time.Second,
		PrepareLimit:   1500 * time.Millisecond,
		TakeOverDelay:  500 * time.Millisecond,
		RestoreDelay:   time.Second,
		RetryDelay:     200 * time.Millisecond,
		WriteTimeout:   10 * time.Second,
		ReadRetry:      time.Second,
		ClearInterval:  10 * time.Second,
		WeightInterval: 10 * time.Second,
		MovedPerMinute: 100,
		FailedHold:     60 * time.Second,
		MaxOutstanding: 16,
		MaxBackground:  4,
		StatusInterval: time.Second,
		Weights:        weight.DefaultSettings(),
	}
}

// Event is one input. Exactly one field is set.
type Event struct {
	Documents *Documents
	Result    *WriteResult
	ReadBack  *ReadBack
	Store     StoreChange
	Members   []core.Member // all nodes thought alive, self included
	InForce   *message.InForce
	Clean     *CleanReport
	Load      *message.Load
	Tick      bool // at least every core.TickInterval
}

// Document is one key of the store, of any of the prefixes in package catalog.
type Document struct {
	Key         string
	Value       []byte // ignored when Deleted
	ModRevision int64
	Deleted     bool
}

// Documents is what a list or a watch of the store gave. One watch must cover
// services, back ends, placements and EpochKey: all changes up to Revision are
// taken as seen. Documents of other prefixes are ignored.
type Documents struct {
	// Complete: Changes holds every document (a list), not only the changed ones.
	Complete bool
	Revision int64
	Changes  []Document
}

// WriteOutcome is what is known of a write.
type WriteOutcome uint8

// The outcomes of a write.
const (
	// WriteDone: it took effect, with the ModRevision given.
	WriteDone WriteOutcome = iota + 1
	// WriteConflict: another write was first; it had no effect.
	WriteConflict
	// WriteUnknown: the answer was lost; it may have taken effect or still may.
	WriteUnknown
	// WriteNotRun: it was not tried, and had no effect.
	WriteNotRun
)

// WriteResult tells the outcome of one Write.
type WriteResult struct {
	Service     lb.ServiceName
	WriteID     string
	Outcome     WriteOutcome
	ModRevision int64 // when WriteDone
}

// ReadBack answers one read of a placement. Failed: it could not be read.
type ReadBack struct {
	Service  lb.ServiceName
	Failed   bool
	Document Document // ModRevision 0 when there is none
}

// StoreChange tells of the store's loss and return.
type StoreChange uint8

// Changes of the store.
const (
	StoreUnchanged StoreChange = iota
	StoreDown
	StoreUp
)

// CleanReport is a Clean message and its sender.
type CleanReport struct {
	From lb.NodeID
	message.Clean
}

// Write asks for a compare-and-swap of a service's placement: it must take
// effect only if the key's mod revision is ExpectedModRevision and that of
// EpochKey is ExpectedEpoch (0: no key). Where either differs, the outcome is
// WriteConflict. Its result must be given as an event.
type Write struct {
	Placement           *lb.Placement // must not be changed
	ExpectedModRevision int64
	ExpectedEpoch       int64
	Kind                Kind
}

// Kind says what a write is for; it labels metrics and logs.
type Kind string

// The kinds of writes.
const (
	KindCreate  Kind = "create"
	KindRestore Kind = "restore"
	KindConfig  Kind = "config"
	KindCommit  Kind = "commit"
	KindFail    Kind = "fail"
	KindSettle  Kind = "settle"
	KindClear   Kind = "clear"
	KindForget  Kind = "forget"
	KindWeights Kind = "weights"
)

// Problem is something that operators should see in the log.
type Problem struct {
	Key   string // store key concerned
	Cause error
}

// Effects is filled by one Step. The caller reuses it; Step resets it first.
type Effects struct {
	Writes []Write
	// Reads asks for the placements of services, to be given as ReadBack events.
	Reads []lb.ServiceName
	// Placements are newly known to be in the store: to be adopted and passed on.
	Placements []*lb.Placement
	// Epoch, when set, is to be put at EpochKey, whatever is there. No result is
	// expected: the watch shows it, and it is asked for again until then.
	Epoch string
	// Status, when set, is to be written to the store as the zone's report.
	Status   *catalog.ZoneStatus
	Problems []Problem
}
