package message

import (
	"robinpulley.example/robinpulley/internal/lb"
)

// The types of messages about how requests at back ends went (docs/design/shifted-work.md).
const (
	TypeOutcomeReport  Type = "outcome_report"
	TypeOutcomeVerdict Type = "outcome_verdict"
)

// BackendOutcomes is what nodes have seen of one back end lately.
type BackendOutcomes struct {
	Identity uint64 `json:"i"`
	Bad      int    `json:"b"`
	Good     int    `json:"g,omitempty"`
	// Reporters is how many nodes have seen bad outcomes that had not said so before.
	Reporters int `json:"n,omitempty"`
}

// OutcomeReport goes up the tree over a zone, and between the first nodes of zones.
type OutcomeReport struct {
	// Zone: the sum of a whole zone, from its first node.
	Zone     bool              `json:"zone,omitempty"`
	Backends []BackendOutcomes `json:"backends"`
}

// OutcomeVerdict goes down the tree over a zone.
type OutcomeVerdict struct {
	// Sender is the first node of the zone, and Number counts its verdicts.
	Sender lb.NodeID `json:"sender"`
	Number uint64    `json:"number"`
	// Watched are back ends whose good outcomes are to be reported, too.
	Watched []uint64 `json:"watched,omitempty"`
	// Avoided are back ends that get a trickle of new flows only.
	Avoided []uint64 `json:"avoided,omitempty"`
}

// MessageType implements Message.
func (OutcomeReport) MessageType() Type { return TypeOutcomeReport }

// MessageType implements Message.
func (OutcomeVerdict) MessageType() Type { return TypeOutcomeVerdict }

// Limits of outcomes in a message.
const (
	maxOutcomeBackends = 1 << 12
	maxOutcomeCount    = 1 << 20
)

func validateOutcomeReport(message OutcomeReport) error {
	if len(message.Backends) > maxOutcomeBackends {
		return fieldError(TypeOutcomeReport, "backends", len(message.Backends), "too many")
	}
	for _, entry := range message.Backends {
		for _, count := range []int{entry.Bad, entry.Good, entry.Reporters} {
			if count < 0 || count > maxOutcomeCount {
				return fieldError(TypeOutcomeReport, "backends", count, "no number of outcomes")
			}
		}
	}
	return nil
}

func validateOutcomeVerdict(message OutcomeVerdict) error {
	if message.Sender == "" {
		return fieldError(TypeOutcomeVerdict, "sender", message.Sender, "missing")
	}
	if len(message.Watched) > maxOutcomeBackends || len(message.Avoided) > maxOutcomeBackends {
		return fieldError(TypeOutcomeVerdict, "watched", len(message.Watched), "too many")
	}
	return nil
}
