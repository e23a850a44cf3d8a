package message

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// The types of messages about how fast back ends are (docs/design/hosts.md).
const (
	TypeSpeedReport Type = "speed_report"
	TypeSpeedState  Type = "speed_state"
)

// BackendTimes sums up how long requests at one back end took lately.
type BackendTimes struct {
	Identity uint64 `json:"i"`
	Count    int    `json:"n"`
	// Logs is the sum of the natural logarithms of the times over what the requests
	// take at idle back ends, in hundredths.
	Logs int `json:"l"`
	// Slow is how many nodes find the back end slow that had not said so before.
	Slow int `json:"r,omitempty"`
}

// ServiceTimes sums up those of all back ends of a service that are not watched.
type ServiceTimes struct {
	Service lb.ServiceName `json:"s"`
	Count   int            `json:"n"`
	Logs    int            `json:"l"`
}

// SpeedReport goes up the tree over a zone, and between the first nodes of zones.
type SpeedReport struct {
	// Zone: the sum of a whole zone, from its first node.
	Zone     bool           `json:"zone,omitempty"`
	Backends []BackendTimes `json:"b,omitempty"`
	Services []ServiceTimes `json:"v,omitempty"`
}

// SpeedState goes down the tree over a zone.
type SpeedState struct {
	// Sender is the first node of the zone, and Number counts its states.
	Sender lb.NodeID    `json:"sender"`
	Number uint64       `json:"number"`
	Steps  BackendSteps `json:"steps"`
}

// BackendStep is by how much the weight of a back end is lowered: 2 to the power
// of a quarter of Step. Step 0 means a back end that is watched.
type BackendStep struct {
	Identity uint64
	Step     uint8
}

// BackendSteps is written as one string, nine bytes for each, since every node of
// a zone is sent it several times a second while back ends are slow.
type BackendSteps []BackendStep

// stepBytes is the length of one step on the wire.
const stepBytes = 9

// MarshalJSON implements json.Marshaler.
func (s BackendSteps) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, len(s)*stepBytes)
	for _, step := range s {
		packed = binary.BigEndian.AppendUint64(packed, step.Identity)
		packed = append(packed, step.Step)
	}
	return json.Marshal(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *BackendSteps) UnmarshalJSON(data []byte) error {
	var packed []byte
	if err := json.Unmarshal(data, &packed); err != nil {
		return errors.Wrap(err, "steps")
	}
	if len(packed)%stepBytes != 0 {
		return errors.Newf("steps: %d bytes are no whole number of steps", len(packed))
	}
	*s = nil
	for ; len(packed) > 0; packed = packed[stepBytes:] {
		*s = append(*s, BackendStep{Identity: binary.BigEndian.Uint64(packed), Step: packed[stepBytes-1]})
	}
	return nil
}

// MessageType implements Message.
func (SpeedReport) MessageType() Type { return TypeSpeedReport }

// MessageType implements Message.
func (SpeedState) MessageType() Type { return TypeSpeedState }

// Limits of speeds in a message, far above what is sent.
const (
	maxSpeedEntries = 1 << 12
	maxSpeedSum     = 1 << 30
	// MostSpeedStep is the largest step: a sixteenth.
	MostSpeedStep = 16
)

func validateSpeedReport(message SpeedReport) error {
	if err := checkCount(TypeSpeedReport, "b", len(message.Backends), maxSpeedEntries); err != nil {
		return err
	}
	if err := checkCount(TypeSpeedReport, "v", len(message.Services), maxSpeedEntries); err != nil {
		return err
	}
	for _, entry := range message.Backends {
		if err := checkTimes("b", entry.Count, entry.Logs, entry.Slow); err != nil {
			return err
		}
	}
	for _, entry := range message.Services {
		if err := checkName(TypeSpeedReport, "v.s", string(entry.Service)); err != nil {
			return err
		}
		if err := checkTimes("v", entry.Count, entry.Logs, 0); err != nil {
			return err
		}
	}
	return nil
}

func checkTimes(field string, count, logs, slow int) error {
	if count < 0 || count > maxSpeedSum || slow < 0 || slow > maxSpeedSum {
		return fieldError(TypeSpeedReport, field, count, "no number of answers")
	}
	if logs < -maxSpeedSum || logs > maxSpeedSum {
		return fieldError(TypeSpeedReport, field, logs, "out of range")
	}
	return nil
}

func validateSpeedState(message SpeedState) error {
	if err := checkName(TypeSpeedState, "sender", string(message.Sender)); err != nil {
		return err
	}
	if err := checkCount(TypeSpeedState, "steps", len(message.Steps), maxSpeedEntries); err != nil {
		return err
	}
	for _, step := range message.Steps {
		if step.Step > MostSpeedStep {
			return fieldError(TypeSpeedState, "steps", int(step.Step), "out of range")
		}
	}
	return nil
}
