package platformsim

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestsWaitForASlot: two at a time, and the rest one after the other.
func TestRequestsWaitForASlot(t *testing.T) {
	is := is.New(t)
	var host Host
	host.SetSlots(2)
	now := time.Now()
	is.Equal(host.takeSlot(now), now) // no work to do
	host.SetWork(10 * time.Millisecond)
	var done []time.Duration
	for range 5 {
		done = append(done, host.takeSlot(now).Sub(now))
	}
	ms := time.Millisecond
	is.Equal(done, []time.Duration{10 * ms, 10 * ms, 20 * ms, 20 * ms, 30 * ms})
	later := now.Add(time.Second)
	is.Equal(host.takeSlot(later).Sub(later), 10*ms)
}

// TestCallersGoToTheirZone, or to any node while none of it is in.
func TestCallersGoToTheirZone(t *testing.T) {
	is := is.New(t)
	nodes := []RouterNode{{Zone: "a"}, {Zone: "b"}, {Zone: "b"}}
	is.Equal(inZone(nodes, "b"), nodes[1:])
	is.Equal(inZone(nodes, ""), nodes)
	is.Equal(inZone(nodes, "c"), nodes)
}
