package admissionqueue

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

// TestQueuedOpeningsAreCountedByPriority checks the counts as openings are queued and removed.
func TestQueuedOpeningsAreCountedByPriority(t *testing.T) {
	is := is.New(t)
	q := New[int](DefaultSettings())
	is.Equal(len(q.Levels()), 0)
	for index, priority := range []uint16{1, 1, 2} {
		objective := lb.Objective{Priority: priority, TargetMillis: 1000}
		is.True(q.Enqueue(time.Second, Opening{Flow: lb.FlowID(index + 1), Service: "web", Objective: objective}) != nil)
	}
	is.Equal(q.Levels(), map[Level]int{{"web", 1}: 2, {"web", 2}: 1})
	q.Remove(q.Find(1))
	is.Equal(q.Levels()[Level{"web", 1}], 1)
}
