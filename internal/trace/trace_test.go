package trace_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/trace"
)

const flow = "100.64.0.4:1213>198.18.0.13:80"

var logs = strings.Join([]string{
	`   4.07 node-b {"node":"b","event":"refused","flow":"` + flow + `","revision":35,"version":26,"view_age_ms":197,"opening_id":9,"copies":1,"reason":"unknown-service","time":"2026-07-09T15:08:44.300Z"}`,
	`{"node":"a","event":"opening","flow":"` + flow + `","host":"10.0.0.1:80","opening_id":9,"copies":0,"time":"2026-07-09T15:08:44.100Z"}`,
	`{"node":"a","event":"opening","flow":"100.64.0.4:1>198.18.0.13:80","time":"2026-07-09T15:08:44.100Z"}`,
	`{"node":"c","event":"stopping","time":"2026-07-09T15:08:44.000Z"}`,
	`{"node":"c","event":"stopped","time":"2026-07-09T15:08:45.301Z"}`,
	`a line of another program`,
	`{"cut of`,
	`{"other":1}`,
}, "\n")

func TestLinesOfOneFlow(t *testing.T) {
	lines, skipped, err := trace.Read(strings.NewReader(logs))
	is := is.New(t)
	is.NoErr(err)
	is.Equal(skipped, 2)
	is.Equal(len(lines), 5)
	cases := []struct {
		around time.Duration
		events []string
	}{
		{0, []string{"a opening", "b refused"}},
		{time.Second, []string{"c stopping", "a opening", "b refused"}},
		{2 * time.Second, []string{"c stopping", "a opening", "b refused", "c stopped"}},
	}
	for _, test := range cases {
		var events []string
		for _, line := range trace.LinesOfFlow(lines, flow, test.around) {
			events = append(events, line.Node+" "+line.Event)
		}
		is.Equal(events, test.events)
	}
	refused := trace.LinesOfFlow(lines, flow, 0)[1]
	is.Equal(refused.Reason, "unknown-service")
	is.Equal(refused.AgeMillis, int64(197))
	is.Equal(refused.Version, uint64(26))
	is.Equal(len(trace.LinesOfFlow(lines, "unknown", time.Hour)), 0)
}

func TestTooLongLineIsAnError(t *testing.T) {
	is := is.New(t)
	_, _, err := trace.Read(strings.NewReader("{" + strings.Repeat("x", 2<<20)))
	is.True(err != nil)
}
