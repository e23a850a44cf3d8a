package platformsim

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestsWaitForFreeSlot verifies that a host with two slots serves two requests concurrently
// and that further requests wait for a free slot.
func TestRequestsWaitForFreeSlot(t *testing.T) {
	is := is.New(t)
	var host Host
	host.SetSlots(2)
	now := time.Now()
	is.Equal(host.claimSlot(now), now) // requests take no time
	host.SetWork(10 * time.Millisecond)
	var done []time.Duration
	for range 5 {
		done = append(done, host.claimSlot(now).Sub(now))
	}
	ms := time.Millisecond
	is.Equal(done, []time.Duration{10 * ms, 10 * ms, 20 * ms, 20 * ms, 30 * ms})
	later := now.Add(time.Second)
	is.Equal(host.claimSlot(later).Sub(later), 10*ms)
}

// TestRouterPrefersNodesInClientZone verifies that a router uses the nodes of the client's zone,
// and all nodes if the zone has none or the client has no zone.
func TestRouterPrefersNodesInClientZone(t *testing.T) {
	is := is.New(t)
	nodes := []RouterNode{{Zone: "a"}, {Zone: "b"}, {Zone: "b"}}
	is.Equal(nodesInZone(nodes, "b"), nodes[1:])
	is.Equal(nodesInZone(nodes, ""), nodes)
	is.Equal(nodesInZone(nodes, "c"), nodes)
}
