package message

import (
	"testing"

	"github.com/matryer/is"
)

// TestSpeedsAreChecked on the way in and out.
func TestSpeedsAreChecked(t *testing.T) {
	is := is.New(t)
	good := []Message{
		SpeedReport{Zone: true, Backends: []BackendTimes{{Identity: 1, Count: 2, Logs: -30, Slow: 1}}, Services: []ServiceTimes{{Service: "web", Count: 3, Logs: 4}}},
		SpeedState{Sender: "n", Number: 1, Steps: BackendSteps{{Identity: 1 << 60, Step: 9}, {Identity: 2}}},
	}
	for _, sent := range good {
		line, err := Encode(nil, "n", sent)
		is.NoErr(err)
		_, received, err := Decode(line)
		is.NoErr(err)
		is.Equal(received, sent)
	}
	bad := []Message{
		SpeedReport{Backends: []BackendTimes{{Identity: 1, Count: -1}}},
		SpeedReport{Backends: []BackendTimes{{Identity: 1, Count: 1, Logs: maxSpeedSum + 1}}},
		SpeedReport{Backends: []BackendTimes{{Identity: 1, Count: 1, Slow: -1}}},
		SpeedReport{Backends: make([]BackendTimes, maxSpeedEntries+1)},
		SpeedReport{Services: []ServiceTimes{{Count: 1}}},
		SpeedState{Number: 1},
		SpeedState{Sender: "n", Steps: BackendSteps{{Identity: 1, Step: MostSpeedStep + 1}}},
		SpeedState{Sender: "n", Steps: make(BackendSteps, maxSpeedEntries+1)},
	}
	for _, sent := range bad {
		_, err := Encode(nil, "n", sent)
		is.True(err != nil)
	}
	_, _, err := Decode([]byte(`{"type":"speed_state","from":"n","body":{"sender":"n","number":1,"steps":"AAAA"}}`))
	is.True(err != nil) // no whole step
}
