package tokennode_test

import (
	"errors"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/follower"
	"robinpulley.example/robinpulley/internal/lab/platformsim"
	"robinpulley.example/robinpulley/platform"
)

func TestFlowsSurviveStopsKillsAndDrains(t *testing.T) {
	is := is.New(t)
	testbed := newTestbed(t, 4)
	flows := append(testbed.openFlows(webFrontend, 12), testbed.openFlows(docsFrontend, 6)...)

	drained := flows[0].host
	for _, host := range testbed.hosts {
		if host.ID == drained {
			host.Announce(testbed.store, "draining")
		}
	}
	testbed.synchronize()
	for _, flow := range testbed.openFlows(webFrontend, 20) {
		is.True(flow.host != drained)
	}
	testbed.requestOnAll(flows)

	testbed.nodes[0].Stop()
	var requests sync.WaitGroup
	requests.Go(func() { testbed.requestOnAll(flows) })
	is.NoErr(<-testbed.nodes[0].ended)
	requests.Wait()
	testbed.stopImmediately(testbed.nodes[1])
	testbed.requestOnAll(flows)
	testbed.start(testbed.nodes[0])
	testbed.start(testbed.nodes[1])
	testbed.waitUntil("the nodes are ready again", func() bool { return testbed.ready(0) && testbed.ready(1) })
	testbed.requestOnAll(flows)
	testbed.checkCounts()
}

// TestPlannedStopsOfOneZoneRunOneAfterAnother checks that of a zone's three nodes, the second one
// to start a planned stop stays ready until the first one has been restarted.
func TestPlannedStopsOfOneZoneRunOneAfterAnother(t *testing.T) {
	is := is.New(t)
	testbed := newTestbed(t, 5) // zone-0 has nodes 0, 2 and 4
	flows := testbed.openFlows(webFrontend, 12)
	testbed.nodes[0].Stop()
	testbed.waitUntil("the other nodes have received the first stop", func() bool { return testbed.metricsContain(2, "robinpulley_members_leaving 1\n") })
	testbed.nodes[2].Stop()
	is.NoErr(<-testbed.nodes[0].ended)
	is.True(testbed.ready(2))
	testbed.start(testbed.nodes[0])
	is.NoErr(<-testbed.nodes[2].ended)
	is.True(testbed.ready(0))
	testbed.requestOnAll(flows)
	testbed.checkCounts()
}

func TestConfigurationChangesDoNotMoveOpenFlows(t *testing.T) {
	is := is.New(t)
	testbed := newTestbed(t, 3)
	flows := testbed.openFlows(webFrontend, 8)
	testbed.configure(map[netip.AddrPort]string{webFrontend: "docs"})
	testbed.waitForConfiguration()
	testbed.requestOnAll(flows)
	for _, flow := range testbed.openFlows(webFrontend, 8) {
		is.True(flow.host == testbed.hosts[4].ID || flow.host == testbed.hosts[5].ID)
	}
	_, err := testbed.client.Open(docsFrontend)
	is.True(errors.Is(err, platformsim.ErrReset)) // no route any more: refused at once
	testbed.requestOnAll(flows)
	testbed.checkCounts()
}

func TestStoreOutage(t *testing.T) {
	for _, fault := range []platformsim.Fault{
		platformsim.FaultBusy, platformsim.FaultUnresponsive, platformsim.FaultReset, platformsim.FaultThrottled, platformsim.FaultSlow,
	} {
		t.Run(string(fault), func(t *testing.T) {
			testbed := newTestbed(t, 3)
			flows := testbed.openFlows(webFrontend, 6)
			testbed.store.SetFault(fault)
			testbed.stopImmediately(testbed.nodes[2])
			testbed.start(testbed.nodes[2]) // gets its view from its peers
			testbed.waitUntil("the restarted node is ready", func() bool { return testbed.ready(2) })
			testbed.requestOnAll(flows)
			flows = append(flows, testbed.openFlows(webFrontend, 6)...)
			testbed.configure(map[netip.AddrPort]string{webFrontend: "docs"})
			testbed.store.Compact()
			testbed.store.SetFault(platformsim.FaultNone)
			testbed.waitForConfiguration()
			testbed.requestOnAll(flows)
			testbed.checkCounts()
		})
	}
}

func TestReusedAddressKeepsServicesApart(t *testing.T) {
	is := is.New(t)
	testbed := newTestbed(t, 2)
	var flow openFlow
	for _, candidate := range testbed.openFlows(webFrontend, 10) {
		flow = candidate
	}
	var oldHost *platformsim.Host
	for _, host := range testbed.hosts {
		if host.ID == flow.host {
			oldHost = host
		}
	}
	address := oldHost.Address()
	oldHost.Close()
	successor := testbed.addHost("i-0999", "docs", address)
	testbed.store.Delete("servers/" + oldHost.ID)
	testbed.synchronize()
	flow.Close() // the packet's token names the old host, which no longer exists
	testbed.waitUntil("the packet for the old host has arrived", func() bool { return successor.Counts().OtherHost > 0 })
	is.Equal(successor.Counts().UnknownFlow, uint64(0)) // a flow of another service gets no reset
}

// TestLateOpeningAnswerDoesNotMoveFlow guards against resets of open flows by a host that was
// paused. The host answers openings late, after copies of them have opened the flows at other
// hosts.
func TestLateOpeningAnswerDoesNotMoveFlow(t *testing.T) {
	testbed := newTestbed(t, 2)
	flows, resume := testbed.openWhileStalled(webFrontend)
	resume()
	for range 3 {
		testbed.requestOnAll(flows)
	}
	testbed.checkAcceptedTwice(flows)
	testbed.checkCounts()
}

// TestLateOpeningAnswerDoesNotMoveFlowAtAnotherNode is the same test with flows whose packets reach
// a balancer that has received none of their packets before.
func TestLateOpeningAnswerDoesNotMoveFlowAtAnotherNode(t *testing.T) {
	testbed := newTestbed(t, 3)
	testbed.client.SetZone("zone-0")
	flows, resume := testbed.openWhileStalled(webFrontend)
	testbed.client.SetZone("zone-1")
	resume()
	for range 3 {
		testbed.requestOnAll(flows)
	}
	testbed.checkAcceptedTwice(flows)
	testbed.checkCounts()
}

// openWhileStalled opens flows at other hosts while a stalled host holds an earlier copy of each
// flow's opening, and waits until all nodes track the flows. resume ends the stall and waits until
// the host has answered the copies.
func (testbed *testbed) openWhileStalled(frontend netip.AddrPort) (flows []openFlow, resume func()) {
	testbed.t.Helper()
	const count = 3
	stalled := testbed.hosts[0]
	before := stalled.Counts().Openings
	endStall := sync.OnceFunc(stalled.Stall())
	testbed.t.Cleanup(endStall) // runs before the host is closed
	testbed.waitUntil("flows are open while the stalled host holds an earlier copy of their openings", func() bool {
		flow := testbed.openFlows(frontend, 1)[0]
		if testbed.maxTracked() == len(flows) {
			return false
		}
		flows = append(flows, flow)
		testbed.waitUntil("all nodes track the flow", func() bool {
			for index := range testbed.nodes {
				if testbed.trackedFlows(index) != len(flows) {
					return false
				}
			}
			return true
		})
		return len(flows) == count
	})
	return flows, func() {
		endStall()
		testbed.waitUntil("the host has answered", func() bool { return stalled.Counts().Openings >= before+count })
	}
}

// maxTracked returns the maximum number of tracked flows over all nodes, which the node that opened
// the last flow reaches first.
func (testbed *testbed) maxTracked() int {
	maximum := 0
	for index := range testbed.nodes {
		maximum = max(maximum, testbed.trackedFlows(index))
	}
	return maximum
}

// trackedFlows returns how many flows a node tracks, from its metrics.
func (testbed *testbed) trackedFlows(index int) int {
	const name = "robinpulley_flows_tracked "
	_, body := testbed.get(index, "/metrics")
	for line := range strings.Lines(body) {
		if count, found := strings.CutPrefix(line, name); found {
			flows, err := strconv.Atoi(strings.TrimSpace(count))
			is.New(testbed.t).NoErr(err)
			return flows
		}
	}
	return 0
}

// checkAcceptedTwice checks that two hosts answered the opening of at least one of the flows, so
// that the test covers a late answer.
func (testbed *testbed) checkAcceptedTwice(flows []openFlow) {
	testbed.t.Helper()
	acceptedTwice := slices.ContainsFunc(flows, func(flow openFlow) bool { return len(flow.AcceptingHosts) > 1 })
	is.New(testbed.t).True(acceptedTwice)
}

// TestNodeWithStaleSeedsJoins guards against a node that knows no other one for seconds, and sends
// packets by tokens that the others know to be wrong: if none of its seeds answers, it joins through
// the nodes that the snapshot of the view names.
func TestNodeWithStaleSeedsJoins(t *testing.T) {
	testbed := newTestbed(t, 2)
	testbed.waitUntil("a snapshot names both nodes", func() bool {
		read := follower.Read{Kind: follower.ReadSnapshot, Stale: true, Timeout: time.Second, Pause: time.Second}
		result := platform.NewStore(testbed.store.URL()).Read(t.Context(), read)
		return result.Snapshot != nil && len(result.Snapshot.Peers) == 2
	})
	testbed.nodes = append(testbed.nodes, testbed.newNodeWithSeeds(2, []netip.AddrPort{freeControlAddress(t)}))
	testbed.waitUntil("the node knows the others", func() bool { return testbed.metricsContain(2, "robinpulley_members_alive 3\n") })
	testbed.waitUntil("the node is ready", func() bool { return testbed.ready(2) })
}
