package coldstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

const (
	ms   = time.Millisecond
	zone = lb.Zone("zone-a")
)

// unstableZone is a zone whose nodes restart, are partitioned, and learn late of changes of the
// others.
type unstableZone struct {
	random *rand.Rand
	nodes  []*simulatedNode
	adjust func(*Settings)
	// partitionedUntil is the time until which nodes reach only nodes of their own partition.
	partitionedUntil time.Duration
}

// simulatedNode is one node.
type simulatedNode struct {
	id            lb.NodeID
	limiter       *Limiter
	startedAt     time.Duration // of its present instance
	down          bool
	isolatedUntil time.Duration // until then it reaches clients and back ends, but no other nodes
	partition     int           // index of its partition of the zone
	nextRefresh   time.Duration // when it next updates its membership
}

func newUnstableZone(seed uint64, count int, adjust func(*Settings)) *unstableZone {
	z := &unstableZone{random: rand.New(rand.NewPCG(seed, 5)), adjust: adjust}
	for index := range count {
		z.nodes = append(z.nodes, &simulatedNode{id: lb.NodeID(fmt.Sprintf("n-%d", index))})
	}
	for _, node := range z.nodes {
		z.start(node, 0)
		z.refreshMembers(node, discoveryTime)
	}
	return z
}

func (z *unstableZone) start(node *simulatedNode, now time.Duration) {
	settings := DefaultSettings(node.id, zone)
	settings.RateFactor, settings.Burst = 1.5, 5
	z.adjust(&settings)
	node.limiter = New(settings)
	node.limiter.SetMembers(now, []Member{{ID: node.id}})
	node.startedAt = now
	node.nextRefresh = now + z.updateDelay()
}

// maxUpdateDelay is the maximum time until a node learns of a change of another node.
const maxUpdateDelay = 2500 * ms

func (z *unstableZone) updateDelay() time.Duration {
	return time.Duration(z.random.Int64N(int64(maxUpdateDelay)))
}

// maxPartition is the maximum duration of a partition.
const maxPartition = 30 * time.Second

// partitions is the number of partitions into which a zone breaks.
const partitions = 5

// faultOdds defines the probability of a fault: in each half second, a node stops, becomes
// isolated, or the zone is partitioned, with a probability of 1/faultOdds each.
const faultOdds = 100

func (z *unstableZone) injectFaults(now time.Duration) {
	if now >= z.partitionedUntil && z.random.IntN(faultOdds) == 0 {
		z.partitionedUntil = now + time.Duration(z.random.Int64N(int64(maxPartition)))
		for _, node := range z.nodes {
			node.partition = z.random.IntN(partitions)
		}
	}
	for _, node := range z.nodes {
		switch draw := z.random.IntN(faultOdds); {
		case node.down:
			node.down = false
			z.start(node, now)
		case draw == 0:
			node.down = true
		case draw == 1:
			node.isolatedUntil = now + time.Duration(z.random.Int64N(int64(maxPartition)))
		}
	}
}

// discoveryTime is the age from which a node knows all reachable nodes; before, it knows some of
// them.
const discoveryTime = 4 * time.Second

// refreshMembers updates the members that a node knows.
func (z *unstableZone) refreshMembers(node *simulatedNode, now time.Duration) {
	members := make([]Member, 0, len(z.nodes))
	discovering := now-node.startedAt < discoveryTime
	for _, other := range z.nodes {
		reachable := (now >= z.partitionedUntil || other.partition == node.partition) && !other.down && other.isolatedUntil < now && node.isolatedUntil < now && !(discovering && z.random.IntN(2) == 0)
		if other == node || reachable {
			members = append(members, Member{ID: other.id})
		}
	}
	node.limiter.SetMembers(now, members)
	node.nextRefresh = now + z.updateDelay()
}

// coldTime is how long a back end stays cold.
const coldTime = 2 * time.Second

// runColdBackends simulates back ends that are cold together, and returns when new flows arrive at
// each. Every node has more openings than it may send.
func (z *unstableZone) runColdBackends(from time.Duration, backends []Backend) [][]time.Duration {
	const step = 20 * ms
	arrivals := make([][]time.Duration, len(backends))
	for now := from; now < from+coldTime; now += step {
		if (now-from)%(500*ms) == 0 {
			z.injectFaults(now)
		}
		for _, node := range z.nodes {
			if node.down {
				continue
			}
			if node.nextRefresh <= now {
				z.refreshMembers(node, now)
			}
			for index, backend := range backends {
				for node.limiter.Allows(now, backend) {
					node.limiter.RecordSent(now, backend.Identity)
					arrivals[index] = append(arrivals[index], now+time.Duration(z.random.Int64N(int64(50*ms))))
				}
			}
		}
	}
	return arrivals
}

// maxPerSecond returns the maximum number of arrivals in any second.
func maxPerSecond(arrivals []time.Duration) int {
	first, highest := 0, 0
	for index, at := range arrivals {
		for at-arrivals[first] > time.Second {
			first++
		}
		highest = max(highest, index-first+1)
	}
	return highest
}

// startStats summarizes a number of starts.
type startStats struct{ starts, exceeded, flows, limit int }

// concurrentStarts is the number of back ends that are cold at the same time.
const concurrentStarts = 8

// simulate starts back ends, several at a time, in an unstable zone.
func simulate(seed uint64, nodes, starts int, rate float64, adjust func(*Settings)) startStats {
	z := newUnstableZone(seed, nodes, adjust)
	result := startStats{limit: int(rate*1.5 + 5)}
	for now := 40 * time.Second; result.starts < starts; now += coldTime {
		var backends []Backend
		for range concurrentStarts {
			result.starts++
			backends = append(backends, Backend{Identity: Identity(result.starts), Zone: zone, Rate: rate})
		}
		for _, arrivals := range z.runColdBackends(now, backends) {
			slices.Sort(arrivals)
			result.flows += len(arrivals)
			if maxPerSecond(arrivals) > result.limit {
				result.exceeded++
			}
		}
	}
	return result
}

func defaults(*Settings) {}

// TestLimitHoldsWithDifferingViews checks that no second exceeds the limit in 10,000 starts, with
// restarts, partitioned nodes, and views that differ for seconds.
func TestLimitHoldsWithDifferingViews(t *testing.T) {
	starts := 0
	for _, rate := range []float64{1, 10, 75} {
		// The nodes are those of one of three zones.
		for _, zone := range []struct{ nodes, starts int }{{3, 2600}, {30, 640}, {100, 160}} {
			nodes := zone.nodes
			got := simulate(uint64(nodes), nodes, zone.starts, rate, defaults)
			starts += got.starts
			if got.exceeded > 0 || got.flows == 0 {
				t.Errorf("rate %v, %d nodes: %+v", rate, nodes, got)
			}
			used := float64(got.flows) / (float64(got.starts*got.limit) * coldTime.Seconds())
			t.Logf("rate %v, %d nodes: %+v, %.2f of the limit used", rate, nodes, got, used)
		}
	}
	if starts < 10000 {
		t.Errorf("%d starts", starts)
	}
}

// TestLimitNeedsEachRule checks that without any one of the rules, the limit is exceeded in some
// seconds.
func TestLimitNeedsEachRule(t *testing.T) {
	for name, adjust := range map[string]func(*Settings){
		"the whole limit for each owner": func(s *Settings) { s.MaxOwners = 1 },
		"no startup delay":               func(s *Settings) { s.StartupDelay = 0 },
		"no history":                     func(s *Settings) { s.HistoryTime = 0 },
		"a window of half a second":      func(s *Settings) { s.Window = 500 * ms },
	} {
		exceeded := simulate(9, 12, 3000, 10, adjust).exceeded
		t.Logf("%s: %d", name, exceeded)
		if exceeded == 0 {
			t.Errorf("%s: the limit was never exceeded", name)
		}
	}
}

// TestOnlyNodesOfSameZoneSendFlows checks that a node sends no flows to a cold back end of another
// zone, nor to any cold back end within its startup delay or while it is leaving.
func TestOnlyNodesOfSameZoneSendFlows(t *testing.T) {
	is := is.New(t)
	l := New(DefaultSettings("n-1", zone))
	l.settings.Burst, l.settings.SingleNode = 9, true
	l.SetMembers(0, []Member{{ID: "n-1"}})
	now := l.settings.StartupDelay
	is.Equal(l.Allows(now-ms, Backend{Identity: 1, Zone: zone, Rate: 1}), false) // within the startup delay
	is.Equal(l.Allows(now, Backend{Identity: 1, Zone: "zone-b", Rate: 1}), false)
	is.True(l.Allows(now, Backend{Identity: 1, Zone: zone, Rate: 1}))
	l.SetMembers(now, []Member{{ID: "n-1", Leaving: true}})
	is.Equal(l.Allows(now, Backend{Identity: 1, Zone: zone, Rate: 1}), false)
}

// TestNodeWithoutPeersMayBePartitioned checks that a node that knows no other node sends no flows
// to cold back ends, unless it is configured as a single node.
func TestNodeWithoutPeersMayBePartitioned(t *testing.T) {
	is := is.New(t)
	l := New(DefaultSettings("n-1", zone))
	l.settings.Burst = 9
	backend := Backend{Identity: 1, Zone: zone, Rate: 1}
	l.SetMembers(0, []Member{{ID: "n-1"}})
	is.Equal(l.Allows(time.Hour, backend), false)
	l.SetMembers(time.Hour, []Member{{ID: "n-1"}, {ID: "n-2"}, {ID: "n-3"}})
	owner := l.Allows(time.Hour, backend)
	other := New(DefaultSettings("n-2", zone))
	other.settings.Burst = 9
	other.SetMembers(0, []Member{{ID: "n-1"}, {ID: "n-2"}})
	is.True(!owner || !other.Allows(time.Hour, backend)) // both nodes rank equally
	l.SetMembers(2*time.Hour, []Member{{ID: "n-1"}})
	is.Equal(l.Allows(2*time.Hour, backend), false) // the last of three
}

// TestNodeCountHistoryIsBounded checks that repeated identical memberships add no entries, and that
// the highest count still expires in time.
func TestNodeCountHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	l := New(DefaultSettings("n-1", zone))
	three := []Member{{ID: "n-1"}, {ID: "n-2"}, {ID: "n-3"}}
	now := time.Duration(0)
	for range 100 {
		now += time.Second
		l.SetMembers(now, three)
	}
	is.Equal(len(l.nodeCounts), 1)
	for range 100 {
		now += time.Second
		l.SetMembers(now, three[:1])
	}
	is.Equal(len(l.nodeCounts), 2)
	shrankAt := 101 * time.Second // when one node was left
	is.True(l.mayBePartitioned(shrankAt + l.settings.HistoryTime))
	l.settings.SingleNode = true
	is.Equal(l.mayBePartitioned(shrankAt+l.settings.HistoryTime+ms), false)
}

// TestLimitIsRestoredAfterWindow checks that a node may use its part of the limit again once the
// window has passed.
func TestLimitIsRestoredAfterWindow(t *testing.T) {
	is := is.New(t)
	l := New(DefaultSettings("n-1", zone))
	l.settings.SingleNode = true
	l.SetMembers(0, []Member{{ID: "n-1"}})
	backend := Backend{Identity: 1, Zone: zone, Rate: 6}
	now := l.settings.StartupDelay
	for range 2 {
		is.True(l.Allows(now, backend))
		l.RecordSent(now, backend.Identity)
	}
	is.Equal(l.Allows(now+l.settings.Window-ms, backend), false)
	is.True(l.Allows(now+l.settings.Window, backend))
	l.Forget(func(Identity) bool { return false })
	is.Equal(len(l.sent), 0)
}
