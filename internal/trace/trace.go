// Package trace finds what the logs of all nodes say of one flow: the decisions
// on its packets, and, if asked for, what happened to the nodes around them.
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

// Line is one line of a node's log. Fields that a line does not have are empty.
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

// perFlow are the events that are about one flow each.
var perFlow = []logging.Event{logging.EventOpening, logging.EventRefused, logging.EventDropped}

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Read gives the lines of a log. What stands before a line's JSON object, as
// collectors of logs put there, and lines without one are passed over; so is an
// object that is no line of a node. skipped counts those.
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

// Of gives the lines of one flow, named as in the field flow, in order of time,
// and the lines about nodes that were written at most around before or after
// one of them. Clocks of nodes may differ: the order between two nodes is that
// of their clocks.
func Of(lines []Line, flow string, around time.Duration) []Line {
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
		return around <= 0 || slices.Contains(perFlow, logging.Event(line.Event)) || !isNear(line.Time, times, around)
	})
	slices.SortStableFunc(found, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node))
	})
	return found
}

// isNear tells whether the time is at most around from one of the times.
func isNear(at time.Time, times []time.Time, around time.Duration) bool {
	return slices.ContainsFunc(times, func(other time.Time) bool { return at.Sub(other).Abs() <= around })
}
