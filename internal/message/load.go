package message

import (
	"math"
	"strconv"

	"robinpulley.example/robinpulley/internal/lb"
)

// The types of messages about the load of services (docs/design/hard-load.md).
const (
	TypeLoadReport Type = "load_report"
	TypeLoadState  Type = "load_state"
)

// LevelWork is the work of one priority: in a report milliseconds, in a state thousandths of a slot.
type LevelWork struct {
	Priority uint16 `json:"p"`
	Begun    int    `json:"b,omitempty"`
	Refused  int    `json:"r,omitempty"`
}

// ZoneAnswers sums up answers of the back ends of one zone: in a report a
// number, in a state thousandths of a number a second.
type ZoneAnswers struct {
	Zone  lb.Zone `json:"z"`
	Count int     `json:"n"`
	// Logs is the sum of the natural logarithms of their loads, in thousandths.
	Logs int `json:"l"`
	// Rejected is how many came too quickly to be answers, in the unit of Count.
	Rejected int `json:"q,omitempty"`
}

// ServiceWork is what nodes have seen of one service.
type ServiceWork struct {
	Service lb.ServiceName `json:"s"`
	Levels  []LevelWork    `json:"w,omitempty"`
	Answers []ZoneAnswers  `json:"a,omitempty"`
	// Echo: it is told only since others are near their limit with this service.
	Echo bool `json:"e,omitempty"`
}

// LoadReport goes up the tree over a zone: what was seen since the report before.
type LoadReport struct {
	Services []ServiceWork `json:"v"`
}

// ZoneWork is what the nodes of one zone see, a second.
type ZoneWork struct {
	Zone lb.Zone `json:"z"`
	// AgeMillis is how long ago the zone's first node has summed it up.
	AgeMillis int           `json:"t,omitempty"`
	Services  []ServiceWork `json:"v"`
}

// LoadState goes between the first nodes of zones, each with its own zone, and
// down the tree over a zone, with all of them.
type LoadState struct {
	// Sender is the first node of a zone, and Number counts its states.
	Sender lb.NodeID  `json:"sender"`
	Number uint64     `json:"number"`
	Zones  []ZoneWork `json:"zones"`
}

// MessageType implements Message.
func (LoadReport) MessageType() Type { return TypeLoadReport }

// MessageType implements Message.
func (LoadState) MessageType() Type { return TypeLoadState }

// Limits of loads in a message. They are far above what a fleet of the size that
// decides the design reports, and keep sums from overflowing.
const (
	maxLoadServices = 1 << 12
	maxLoadParts    = 1 << 10
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
	if err := checkCount(TypeLoadState, "zones", len(message.Zones), maxLoadParts); err != nil {
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
		if err := checkCount(kind, "v.w", len(service.Levels), maxLoadParts); err != nil {
			return err
		}
		if err := checkCount(kind, "v.a", len(service.Answers), maxLoadParts); err != nil {
			return err
		}
		for _, level := range service.Levels {
			for _, work := range []int{level.Begun, level.Refused} {
				if work < 0 || work > maxLoadSum {
					return fieldError(kind, "v.w", work, "no amount of work")
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
		return fieldError(kind, "v.a.n", answers.Count, "no number of answers")
	}
	if answers.Rejected < 0 || answers.Rejected > maxLoadSum {
		return fieldError(kind, "v.a.q", answers.Rejected, "no number of rejections")
	}
	if math.Abs(float64(answers.Logs)) > maxLoadSum {
		return fieldError(kind, "v.a.l", answers.Logs, "out of range")
	}
	return nil
}
