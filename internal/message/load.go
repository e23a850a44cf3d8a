package message

import (
	"math"
	"strconv"

	"robinpulley.example/robinpulley/internal/lb"
)

// These are the types of messages about the load of services (docs/design/hard-load.md).
const (
	TypeLoadReport Type = "load_report"
	TypeLoadState  Type = "load_state"
)

// LevelWork is the work of one priority level of a service: in a LoadReport in milliseconds, in a
// LoadState in thousandths of a slot.
type LevelWork struct {
	Priority uint16 `json:"p"`
	Begun    int    `json:"b,omitempty"`
	Refused  int    `json:"r,omitempty"`
}

// ZoneAnswers aggregates the answers of the back ends of one zone: in a LoadReport their number, in
// a LoadState thousandths of their number per second.
type ZoneAnswers struct {
	Zone  lb.Zone `json:"z"`
	Count int     `json:"n"`
	// LogLoadSum is the sum of the natural logarithms of the loads that the answers reported, in
	// thousandths.
	LogLoadSum int `json:"l"`
	// Rejected is the number of answers that arrived too quickly to be real answers and therefore
	// count as rejections, in the unit of Count.
	Rejected int `json:"q,omitempty"`
}

// ServiceWork is the work and the answers that nodes observed for one service.
type ServiceWork struct {
	Service lb.ServiceName `json:"s"`
	Levels  []LevelWork    `json:"w,omitempty"`
	Answers []ZoneAnswers  `json:"a,omitempty"`
	// Solicited is set if the sender reports this service only because other nodes are near their
	// limit with it.
	Solicited bool `json:"e,omitempty"`
}

// LoadReport is sent up the distribution tree of a zone, to its root node. It carries the
// observations since the previous report.
type LoadReport struct {
	Services []ServiceWork `json:"v"`
}

// ZoneWork is the work that the nodes of one zone observe per second.
type ZoneWork struct {
	Zone lb.Zone `json:"z"`
	// AgeMillis is the time since the root node of the zone computed the sums.
	AgeMillis int           `json:"t,omitempty"`
	Services  []ServiceWork `json:"v"`
}

// LoadState is sent between the root nodes of the zones, each with its own zone only, and down the
// distribution tree of a zone, with all zones.
type LoadState struct {
	// Sender is the root node of a zone, and Sequence is the sequence number of the state among
	// its states.
	Sender   lb.NodeID  `json:"sender"`
	Sequence uint64     `json:"number"`
	Zones    []ZoneWork `json:"zones"`
}

// MessageType returns the type of the message.
func (LoadReport) MessageType() Type { return TypeLoadReport }

// MessageType returns the type of the message.
func (LoadState) MessageType() Type { return TypeLoadState }

// These are limits for load messages. They are far above the values that the largest fleet of the
// design reports, and prevent sums from overflowing.
const (
	maxLoadServices = 1 << 12
	maxLoadEntries  = 1 << 10
	maxLoadSum      = 1 << 40
	maxLoadAge      = 1 << 20
)

func validateLoadReport(message LoadReport) error {
	return validateServiceWork(TypeLoadReport, message.Services)
}

func validateLoadState(message LoadState) error {
	if err := checkName(TypeLoadState, "sender", string(message.Sender)); err != nil {
		return err
	}
	if err := checkCount(TypeLoadState, "zones", len(message.Zones), maxLoadEntries); err != nil {
		return err
	}
	for _, zone := range message.Zones {
		if err := checkName(TypeLoadState, "zones.z", string(zone.Zone)); err != nil {
			return err
		}
		if zone.AgeMillis < 0 || zone.AgeMillis > maxLoadAge {
			return fieldError(TypeLoadState, "zones.t", strconv.Itoa(zone.AgeMillis), "out of range")
		}
		if err := validateServiceWork(TypeLoadState, zone.Services); err != nil {
			return err
		}
	}
	return nil
}

func validateServiceWork(kind Type, services []ServiceWork) error {
	if err := checkCount(kind, "v", len(services), maxLoadServices); err != nil {
		return err
	}
	for _, service := range services {
		if err := checkName(kind, "v.s", string(service.Service)); err != nil {
			return err
		}
		if err := checkCount(kind, "v.w", len(service.Levels), maxLoadEntries); err != nil {
			return err
		}
		if err := checkCount(kind, "v.a", len(service.Answers), maxLoadEntries); err != nil {
			return err
		}
		for _, level := range service.Levels {
			for _, work := range []int{level.Begun, level.Refused} {
				if work < 0 || work > maxLoadSum {
					return fieldError(kind, "v.w", work, "not an amount of work")
				}
			}
		}
		for _, answers := range service.Answers {
			if err := validateAnswers(kind, &answers); err != nil {
				return err
			}
		}
	}
	return nil
}

func validateAnswers(kind Type, answers *ZoneAnswers) error {
	if err := checkName(kind, "v.a.z", string(answers.Zone)); err != nil {
		return err
	}
	if answers.Count < 0 || answers.Count > maxLoadSum {
		return fieldError(kind, "v.a.n", answers.Count, "not a number of answers")
	}
	if answers.Rejected < 0 || answers.Rejected > maxLoadSum {
		return fieldError(kind, "v.a.q", answers.Rejected, "not a number of rejections")
	}
	if math.Abs(float64(answers.LogLoadSum)) > maxLoadSum {
		return fieldError(kind, "v.a.l", answers.LogLoadSum, "out of range")
	}
	return nil
}
