package tokennode_test

import (
	"errors"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lab/platformsim"
)

func TestFlowsSurviveStopsKillsAndDrains(t *testing.T) {
	is := is.New(t)
	site := newSite(t, 4)
	flows := append(site.open(webFront, 12), site.open(docsFront, 6)...)

	drained := flows[0].host
	for _, host := range site.hosts {
		if host.ID == drained {
			host.Announce(site.store, "draining")
		}
	}
	site.settle()
	for _, flow := range site.open(webFront, 20) {
		is.True(flow.host != drained)
	}
	site.useAll(flows)

	site.nodes[0].Stop()
	var using sync.WaitGroup
	using.Go(func() { site.useAll(flows) })
	is.NoErr(<-site.nodes[0].ended)
	using.Wait()
	site.kill(site.nodes[1])
	site.useAll(flows)
	site.launch(site.nodes[0])
	site.launch(site.nodes[1])
	site.until("the nodes are back", func() bool { return site.ready(0) && site.ready(1) })
	site.useAll(flows)
	site.check()
}

// TestStopsOfOneZoneTakeTurns: of a zone's three nodes, the second that is told
// to stop stays ready until the first is back.
func TestStopsOfOneZoneTakeTurns(t *testing.T) {
	is := is.New(t)
	site := newSite(t, 5) // zone-0 has nodes 0, 2 and 4
	flows := site.open(webFront, 12)
	site.nodes[0].Stop()
	site.until("the others know of the first stop", func() bool { return site.shows(2, "robinpulley_members_leaving 1\n") })
	site.nodes[2].Stop()
	is.NoErr(<-site.nodes[0].ended)
	is.True(site.ready(2))
	site.launch(site.nodes[0])
	is.NoErr(<-site.nodes[2].ended)
	is.True(site.ready(0))
	site.useAll(flows)
	site.check()
}

func TestConfigurationChangesLeaveFlowsAlone(t *testing.T) {
	is := is.New(t)
	site := newSite(t, 3)
	flows := site.open(webFront, 8)
	site.configure(map[netip.AddrPort]string{webFront: "docs"})
	site.everywhere()
	site.useAll(flows)
	for _, flow := range site.open(webFront, 8) {
		is.True(flow.host == site.hosts[4].ID || flow.host == site.hosts[5].ID)
	}
	_, err := site.caller.Open(docsFront)
	is.True(errors.Is(err, platformsim.ErrReset)) // the route is gone: refused at once
	site.useAll(flows)
	site.check()
}

func TestStoreOutage(t *testing.T) {
	for _, fault := range []platformsim.Fault{
		platformsim.FaultBusy, platformsim.FaultSilent, platformsim.FaultReset, platformsim.FaultThrottled, platformsim.FaultSlow,
	} {
		t.Run(string(fault), func(t *testing.T) {
			site := newSite(t, 3)
			flows := site.open(webFront, 6)
			site.store.SetFault(fault)
			site.kill(site.nodes[2])
			site.launch(site.nodes[2]) // learns from its peers
			site.until("the restarted node is ready", func() bool { return site.ready(2) })
			site.useAll(flows)
			flows = append(flows, site.open(webFront, 6)...)
			site.configure(map[netip.AddrPort]string{webFront: "docs"})
			site.store.Compact()
			site.store.SetFault(platformsim.FaultNone)
			site.everywhere()
			site.useAll(flows)
			site.check()
		})
	}
}

func TestReusedAddressKeepsServicesApart(t *testing.T) {
	is := is.New(t)
	site := newSite(t, 2)
	var flow openFlow
	for _, candidate := range site.open(webFront, 10) {
		flow = candidate
	}
	var victim *platformsim.Host
	for _, host := range site.hosts {
		if host.ID == flow.host {
			victim = host
		}
	}
	address := victim.Address()
	victim.Close()
	successor := site.addHost("i-0999", "docs", address)
	site.store.Delete("servers/" + victim.ID)
	site.settle()
	flow.Close() // its packet names the victim, which is gone
	site.until("the packet for the old host has come", func() bool { return successor.Counts().NotMeant > 0 })
	is.Equal(successor.Counts().Unknown, uint64(0)) // no reset of another service's flow
}

// TestLateAnswerToAnOpeningMovesNoFlow guards against resets of open flows by a host that was
// paused: it answers openings late, whose copies have opened their flows at other hosts.
func TestLateAnswerToAnOpeningMovesNoFlow(t *testing.T) {
	site := newSite(t, 2)
	flows, resume := site.openWhileStalled(webFront)
	resume()
	for range 3 {
		site.useAll(flows)
	}
	site.checkAccepting(flows)
	site.check()
}

// TestLateAnswerMovesNoFlowThatMetAnotherNode: likewise where the flows' packets come to a
// balancer that saw none of them before.
func TestLateAnswerMovesNoFlowThatMetAnotherNode(t *testing.T) {
	site := newSite(t, 3)
	site.caller.SetZone("zone-0")
	flows, resume := site.openWhileStalled(webFront)
	site.caller.SetZone("zone-1")
	resume()
	for range 3 {
		site.useAll(flows)
	}
	site.checkAccepting(flows)
	site.check()
}

// openWhileStalled opens flows of which a host that is stalled holds an earlier copy of the opening, and which
// all nodes have heard of. resume has the host go on, and waits until it has answered them.
func (site *site) openWhileStalled(front netip.AddrPort) (flows []openFlow, resume func()) {
	site.t.Helper()
	const count = 3
	stalled := site.hosts[0]
	before := stalled.Counts().Openings
	end := sync.OnceFunc(stalled.Stall())
	site.t.Cleanup(end) // before the host is closed
	site.until("flows are open whose first copy the host holds", func() bool {
		flow := site.open(front, 1)[0]
		if site.mostTracked() == len(flows) {
			return false
		}
		flows = append(flows, flow)
		site.until("all nodes have heard of the flow", func() bool {
			for index := range site.nodes {
				if site.tracked(index) != len(flows) {
					return false
				}
			}
			return true
		})
		return len(flows) == count
	})
	return flows, func() {
		end()
		site.until("the host has answered", func() bool { return stalled.Counts().Openings >= before+count })
	}
}

// mostTracked gives how many flows the node tracks that tracks most: the one that opened the last.
func (site *site) mostTracked() int {
	most := 0
	for index := range site.nodes {
		most = max(most, site.tracked(index))
	}
	return most
}

// tracked gives how many flows a node tracks.
func (site *site) tracked(index int) int {
	const name = "robinpulley_flows_tracked "
	_, body := site.get(index, "/metrics")
	for line := range strings.Lines(body) {
		if count, found := strings.CutPrefix(line, name); found {
			tracked, err := strconv.Atoi(strings.TrimSpace(count))
			is.New(site.t).NoErr(err)
			return tracked
		}
	}
	return 0
}

// checkAccepting checks that the openings of some flows were answered by two hosts.
func (site *site) checkAccepting(flows []openFlow) {
	site.t.Helper()
	twice := slices.ContainsFunc(flows, func(flow openFlow) bool { return len(flow.Accepting) > 1 })
	is.New(site.t).True(twice)
}
