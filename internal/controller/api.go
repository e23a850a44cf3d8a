// Package controller decides which placements are published. Its inputs are the operators'
// documents, the placements in the store, and reports of versions in force, of clean buckets and
// of load; its outputs are writes to the store. It does no I/O and reads no clock. Every watcher
// of the store runs a controller. The watchers do not elect a publisher; safety rests on three
// rules alone: a write is a compare-and-swap on the mod revision of the placement from which it
// was derived; a write also expects the epoch (EpochKey) that its writer has seen; and no
// publisher overwrites a placement derived from a later configuration than the publisher has seen.
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

// Settings holds the controller's parameters. Zero values are not valid; see DefaultSettings.
type Settings struct {
	Self lb.NodeID
	Zone lb.Zone
	// RunID is the part of write IDs that distinguishes this run of the process from others.
	RunID string
	// IdleTimeout is the time after which a flow without packets ends. It must not be below
	// core.Settings.IdleTimeout.
	IdleTimeout time.Duration
	// SettleMargin is the delay, in addition to IdleTimeout, before a committed generation becomes
	// the base.
	SettleMargin time.Duration
	// PrepareLimit is the maximum wait for acknowledgements of a prepared version.
	PrepareLimit time.Duration
	// TakeoverDelay is the delay between successive publishers of a service, in takeover order:
	// each one acts this much later than the one before it.
	TakeoverDelay time.Duration
	// RestoreDelay is the delay before a placement that the store seems to have lost is written
	// again. Usually the watch delivers the placement within this time.
	RestoreDelay time.Duration
	// RetryDelay is the delay after a failed write.
	RetryDelay time.Duration
	// WriteTimeout is the maximum wait for the result of a write before the placement is read back.
	WriteTimeout time.Duration
	// ReadRetryDelay is the delay after a failed read of a placement.
	ReadRetryDelay time.Duration
	// ClearInterval is the time for which reports of clean buckets are collected into one write.
	ClearInterval time.Duration
	// WeightInterval is the minimum time between two weight steps of a service.
	WeightInterval time.Duration
	// MaxMovedPerMinute bounds the number of a service's buckets that weight steps move per minute.
	MaxMovedPerMinute int
	// MinFailedTime is the minimum time for which a failed back end gets no flows.
	MinFailedTime time.Duration
	// MaxOutstanding bounds the number of writes without a result. Background writes, which do not
	// carry out an operator's change, start only while fewer than MaxBackground are outstanding.
	MaxOutstanding int
	MaxBackground  int
	// StatusInterval is the minimum time between two reports of the zone's state.
	StatusInterval time.Duration
	// InForce, if set, returns the placement that is in force at this node for a service, or nil.
	// It may come from a peer and be newer than the placement in the store.
	InForce func(lb.ServiceName) *lb.Placement
	Weights weight.Settings
}

// DefaultSettings returns the default settings of a node. The caller chooses a random run ID once
// per process.
func DefaultSettings(self lb.NodeID, zone lb.Zone, runID string) Settings {
	return Settings{
		Self:              self,
		Zone:              zone,
		RunID:             runID,
		IdleTimeout:       300 * time.Second,
		SettleMargin:      10 * time.Second,
		PrepareLimit:      1500 * time.Millisecond,
		TakeoverDelay:     500 * time.Millisecond,
		RestoreDelay:      time.Second,
		RetryDelay:        200 * time.Millisecond,
		WriteTimeout:      10 * time.Second,
		ReadRetryDelay:    time.Second,
		ClearInterval:     10 * time.Second,
		WeightInterval:    10 * time.Second,
		MaxMovedPerMinute: 100,
		MinFailedTime:     60 * time.Second,
		MaxOutstanding:    16,
		MaxBackground:     4,
		StatusInterval:    time.Second,
		Weights:           weight.DefaultSettings(),
	}
}

// Event is one input of the controller. Exactly one field is set.
type Event struct {
	Documents *Documents
	Result    *WriteResult
	ReadBack  *ReadBack
	Store     StoreChange
	Members   []core.Member // all nodes considered alive, this node included
	InForce   *message.InForce
	Clean     *CleanReport
	Load      *message.Load
	Tick      bool // sent at least every core.TickInterval
}

// Document is one key of the store with its value. The key has any of the prefixes that package
// catalog defines.
type Document struct {
	Key         string
	Value       []byte // ignored when Deleted
	ModRevision int64
	Deleted     bool
}

// Documents is the result of a list, or a batch of a watch, of the store. One watch must cover
// services, back ends, placements and EpochKey: the controller assumes that it has seen all
// changes up to Revision. Documents with other prefixes are ignored.
type Documents struct {
	// Complete is true for a list: Changes holds every document, not only the changed ones.
	Complete bool
	Revision int64
	Changes  []Document
}

// WriteOutcome states whether a write took effect.
type WriteOutcome uint8

// The outcomes of a write.
const (
	// WriteDone means that the write took effect, with the result's ModRevision.
	WriteDone WriteOutcome = iota + 1
	// WriteConflict means that another write took effect before; this one had no effect.
	WriteConflict
	// WriteUnknown means that the response was lost: the write may have taken effect, or may still
	// take effect.
	WriteUnknown
	// WriteNotSent means that the write was not sent to the store and had no effect.
	WriteNotSent
)

// WriteResult is the outcome of one Write.
type WriteResult struct {
	Service     lb.ServiceName
	WriteID     string
	Outcome     WriteOutcome
	ModRevision int64 // set with WriteDone
}

// ReadBack is the result of one read of a placement. Failed is true if the read failed.
type ReadBack struct {
	Service  lb.ServiceName
	Failed   bool
	Document Document // its ModRevision is 0 if the store has no such document
}

// StoreChange is a change of the store's availability.
type StoreChange uint8

// The changes of the store's availability.
const (
	StoreUnchanged StoreChange = iota
	StoreDown
	StoreUp
)

// CleanReport is a Clean message with its sender.
type CleanReport struct {
	From lb.NodeID
	message.Clean
}

// Write requests a compare-and-swap of a service's placement: the write must take effect only if
// the key's mod revision is ExpectedModRevision and the mod revision of EpochKey is ExpectedEpoch
// (0: the key does not exist). If either differs, the outcome is WriteConflict. The caller must
// pass the result to the controller as an event.
type Write struct {
	Placement           *lb.Placement // must not be modified
	ExpectedModRevision int64
	ExpectedEpoch       int64
	Kind                Kind
}

// Kind is the purpose of a write; it is a label of metrics and a field of logs.
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

// Problem is an error that must appear in the log for operators.
type Problem struct {
	Key   string // the store key that the problem concerns
	Cause error
}

// Effects holds the outputs of one call of Step. The caller may reuse it; Step resets it first.
type Effects struct {
	Writes []Write
	// Reads lists the services whose placements the caller must read and return as ReadBack events.
	Reads []lb.ServiceName
	// Placements lists placements that were newly found in the store, for this node to adopt and
	// disseminate.
	Placements []*lb.Placement
	// Epoch, if set, must be written to EpochKey unconditionally. The caller returns no result: the
	// write is requested again until the watch shows a change of the key.
	Epoch string
	// Status, if set, must be written to the store as the zone's status report.
	Status   *catalog.ZoneStatus
	Problems []Problem
}
