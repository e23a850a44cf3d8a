// Package trace extracts the history of one flow from the logs of all nodes: the decisions on its
// packets and, on request, the events of nodes around the same time.
package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/logging"
)

// Line is one line of a node's log. Fields that are absent from the line are empty.
type Line struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Event   string    `json:"event"`
	Flow    string    `json:"flow,omitempty"`
	Opening uint32    `json:"opening_id,omitempty"`
	Copies  uint32    `json:"copies,omitempty"`
	Service string    `json:"service,omitempty"`
	Host    string    `json:"host,omitempty"`
	Backend string    `json:"backend,omitempty"`
	Reason  string    `json:"reason,omitempty"`
	Failure string    `json:"failure,omitempty"`

	Revision  int64  `json:"revision,omitempty"`
	Version   uint64 `json:"version,omitempty"`
	AgeMillis int64  `json:"view_age_ms,omitempty"`
	Omitted   uint64 `json:"omitted,omitempty"`
}

// flowEvents are the events that concern a single flow.
var flowEvents = []logging.Event{logging.EventOpening, logging.EventRefused, logging.EventDropped}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Read parses the lines of a log. Text before the JSON object of a line, such as the prefix of a
// log collector, is ignored, and so are lines without an object. An object that is not a log line
// of a node is ignored too, and counted in skipped.
func Read(log io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var line Line
		if err := json.Unmarshal(text[start:], &line); err != nil || line.Event == "" {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "read the log")
}

// LinesOfFlow returns the lines of one flow, whose name is the value of the field "flow", and the
// lines about nodes that were written at most the duration around before or after one of them. The
// lines are sorted by time. The clocks of nodes may differ, and the order follows these clocks.
func LinesOfFlow(lines []Line, flow string, around time.Duration) []Line {
	var times []time.Time
	for _, line := range lines {
		if line.Flow == flow {
			times = append(times, line.Time)
		}
	}
	found := slices.DeleteFunc(slices.Clone(lines), func(line Line) bool {
		if line.Flow == flow {
			return false
		}
		return around <= 0 || slices.Contains(flowEvents, logging.Event(line.Event)) || !isNear(line.Time, times, around)
	})
	slices.SortStableFunc(found, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node))
	})
	return found
}

// isNear reports whether the time is within the duration around of one of the times.
func isNear(at time.Time, times []time.Time, around time.Duration) bool {
	return slices.ContainsFunc(times, func(other time.Time) bool { return at.Sub(other).Abs() <= around })
}
