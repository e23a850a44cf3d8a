package message

import (
	"robinpulley.example/robinpulley/internal/lb"
)

// These are the types of messages about the outcomes of requests at back ends
// (docs/design/shifted-work.md).
const (
	TypeOutcomeReport  Type = "outcome_report"
	TypeOutcomeVerdict Type = "outcome_verdict"
)

// BackendOutcomes counts the recent outcomes of requests that nodes observed at one back end.
type BackendOutcomes struct {
	Identity uint64 `json:"i"`
	Bad      int    `json:"b"`
	Good     int    `json:"g,omitempty"`
	// NewReporters is the number of nodes that observed bad outcomes and had not reported any
	// before.
	NewReporters int `json:"n,omitempty"`
}

// OutcomeReport is sent up the distribution tree of a zone, to its root node, and between the root
// nodes of the zones.
type OutcomeReport struct {
	// WholeZone is set if the report is the sum of a whole zone, sent by its root node.
	WholeZone bool              `json:"zone,omitempty"`
	Backends  []BackendOutcomes `json:"backends"`
}

// OutcomeVerdict is sent down the distribution tree of a zone.
type OutcomeVerdict struct {
	// Sender is the root node of the zone, and Sequence is the sequence number of the verdict
	// among its verdicts.
	Sender   lb.NodeID `json:"sender"`
	Sequence uint64    `json:"number"`
	// Watched lists the back ends whose good outcomes nodes report as well.
	Watched []uint64 `json:"watched,omitempty"`
	// Ejected lists the ejected back ends, which receive only a few trial flows.
	Ejected []uint64 `json:"avoided,omitempty"`
}

// MessageType returns the type of the message.
func (OutcomeReport) MessageType() Type { return TypeOutcomeReport }

// MessageType returns the type of the message.
func (OutcomeVerdict) MessageType() Type { return TypeOutcomeVerdict }

// These are limits for messages about outcomes.
const (
	maxOutcomeBackends = 1 << 12
	maxOutcomeCount    = 1 << 20
)

func validateOutcomeReport(message OutcomeReport) error {
	if len(message.Backends) > maxOutcomeBackends {
		return fieldError(TypeOutcomeReport, "backends", len(message.Backends), "too many")
	}
	for _, entry := range message.Backends {
		for _, count := range []int{entry.Bad, entry.Good, entry.NewReporters} {
			if count < 0 || count > maxOutcomeCount {
				return fieldError(TypeOutcomeReport, "backends", count, "not a number of outcomes")
			}
		}
	}
	return nil
}

func validateOutcomeVerdict(message OutcomeVerdict) error {
	if message.Sender == "" {
		return fieldError(TypeOutcomeVerdict, "sender", message.Sender, "missing")
	}
	if len(message.Watched) > maxOutcomeBackends || len(message.Ejected) > maxOutcomeBackends {
		return fieldError(TypeOutcomeVerdict, "watched", len(message.Watched), "too many")
	}
	return nil
}
