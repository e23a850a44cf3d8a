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

// disorder is a zone whose nodes restart, are cut off, and hear late of each other.
type disorder struct {
	random *rand.Rand
	nodes  []*simulated
	adjust func(*Settings)
	// parted: until then nodes reach only those of their own part of the zone.
	parted time.Duration
}

// simulated is one node.
type simulated struct {
	id      lb.NodeID
	limiter *Limiter
	upSince time.Duration // of its present life
	down    bool
	lonely  time.Duration // until then it is cut off from the others, not from callers and back ends
	part    int           // of the zone
	learns  time.Duration // when it will look again who is alive
}

func newDisorder(seed uint64, count int, adjust func(*Settings)) *disorder {
	d := &disorder{random: rand.New(rand.NewPCG(seed, 5)), adjust: adjust}
	for index := range count {
		d.nodes = append(d.nodes, &simulated{id: lb.NodeID(fmt.Sprintf("n-%d", index))})
	}
	for _, node := range d.nodes {
		d.start(node, 0)
		d.look(node, grownUp)
	}
	return d
}

func (d *disorder) start(node *simulated, now time.Duration) {
	settings := DefaultSettings(node.id, zone)
	settings.Overage, settings.Slack = 1.5, 5
	d.adjust(&settings)
	node.limiter = New(settings)
	node.limiter.SetMembers(now, []Member{{ID: node.id}})
	node.upSince = now
	node.learns = now + d.delay()
}

// latestNews is the longest time until a node learns what has happened to others.
const latestNews = 2500 * ms

func (d *disorder) delay() time.Duration { return time.Duration(d.random.Int64N(int64(latestNews))) }

// longestCut is the longest time for which a node is cut off from the others.
const longestCut = 30 * time.Second

// parts is into how many parts a zone falls that is cut.
const parts = 5

// troubleParts is the part of the nodes, one in so many, that is stopped, and cut
// off, in half a second.
const troubleParts = 100

func (d *disorder) trouble(now time.Duration) {
	if now >= d.parted && d.random.IntN(troubleParts) == 0 {
		d.parted = now + time.Duration(d.random.Int64N(int64(longestCut)))
		for _, node := range d.nodes {
			node.part = d.random.IntN(parts)
		}
	}
	for _, node := range d.nodes {
		switch draw := d.random.IntN(troubleParts); {
		case node.down:
			node.down = false
			d.start(node, now)
		case draw == 0:
			node.down = true
		case draw == 1:
			node.lonely = now + time.Duration(d.random.Int64N(int64(longestCut)))
		}
	}
}

// grownUp is the age from which on a node hears of all others it can reach; before, of some.
const grownUp = 4 * time.Second

// look has a node see who is alive and reaches it.
func (d *disorder) look(node *simulated, now time.Duration) {
	members := make([]Member, 0, len(d.nodes))
	young := now-node.upSince < grownUp
	for _, other := range d.nodes {
		reached := (now >= d.parted || other.part == node.part) && !other.down && other.lonely < now && node.lonely < now && !(young && d.random.IntN(2) == 0)
		if other == node || reached {
			members = append(members, Member{ID: other.id})
		}
	}
	node.limiter.SetMembers(now, members)
	node.learns = now + d.delay()
}

// coldTime is how long a back end stays cold.
const coldTime = 2 * time.Second

// starts has back ends be cold together, and gives when new flows reach each. Every
// node is asked for more than it may send.
func (d *disorder) starts(from time.Duration, backends []Backend) [][]time.Duration {
	const step = 20 * ms
	arrivals := make([][]time.Duration, len(backends))
	for now := from; now < from+coldTime; now += step {
		if (now-from)%(500*ms) == 0 {
			d.trouble(now)
		}
		for _, node := range d.nodes {
			if node.down {
				continue
			}
			if node.learns <= now {
				d.look(node, now)
			}
			for index, backend := range backends {
				for node.limiter.Allows(now, backend) {
					node.limiter.Sent(now, backend.Identity)
					arrivals[index] = append(arrivals[index], now+time.Duration(d.random.Int64N(int64(50*ms))))
				}
			}
		}
	}
	return arrivals
}

// most gives the most arrivals in any second.
func most(arrivals []time.Duration) int {
	first, most := 0, 0
	for index, at := range arrivals {
		for at-arrivals[first] > time.Second {
			first++
		}
		most = max(most, index-first+1)
	}
	return most
}

// outcome is what a number of starts came to.
type outcome struct{ starts, over, flows, bound int }

// together is how many back ends are cold at the same time.
const together = 8

// play has back ends start, some at a time, in a zone in disorder.
func play(seed uint64, nodes, starts int, rate float64, adjust func(*Settings)) outcome {
	d := newDisorder(seed, nodes, adjust)
	result := outcome{bound: int(rate*1.5 + 5)}
	for now := 40 * time.Second; result.starts < starts; now += coldTime {
		var backends []Backend
		for range together {
			result.starts++
			backends = append(backends, Backend{Identity: Identity(result.starts), Zone: zone, Rate: rate})
		}
		for _, arrivals := range d.starts(now, backends) {
			slices.Sort(arrivals)
			result.flows += len(arrivals)
			if most(arrivals) > result.bound {
				result.over++
			}
		}
	}
	return result
}

func asIs(*Settings) {}

// TestBoundHoldsWhateverNodesKnow: no second over the bound in 10,000 starts, with
// restarts, nodes that are cut off, and views that differ for seconds.
func TestBoundHoldsWhateverNodesKnow(t *testing.T) {
	starts := 0
	for _, rate := range []float64{1, 10, 75} {
		for _, zone := range []struct{ nodes, starts int }{{3, 2600}, {30, 640}, {100, 160}} { // one of three zones
			nodes := zone.nodes
			got := play(uint64(nodes), nodes, zone.starts, rate, asIs)
			starts += got.starts
			if got.over > 0 || got.flows == 0 {
				t.Errorf("rate %v, %d nodes: %+v", rate, nodes, got)
			}
			used := float64(got.flows) / (float64(got.starts*got.bound) * coldTime.Seconds())
			t.Logf("rate %v, %d nodes: %+v, %.2f of the bound used", rate, nodes, got, used)
		}
	}
	if starts < 10000 {
		t.Errorf("%d starts", starts)
	}
}

// TestBoundNeedsEachRule: without one of them some seconds are over the bound.
func TestBoundNeedsEachRule(t *testing.T) {
	for name, adjust := range map[string]func(*Settings){
		"the whole bound for each owner": func(s *Settings) { s.Owners = 1 },
		"no youth":                       func(s *Settings) { s.Youth = 0 },
		"no memory":                      func(s *Settings) { s.Memory = 0 },
		"a window of half a second":      func(s *Settings) { s.Window = 500 * ms },
	} {
		over := play(9, 12, 3000, 10, adjust).over
		t.Logf("%s: %d", name, over)
		if over == 0 {
			t.Errorf("%s: no second over the bound", name)
		}
	}
}

func TestOnlyTheZoneOfABackendUsesIt(t *testing.T) {
	is := is.New(t)
	l := New(DefaultSettings("n-1", zone))
	l.settings.Slack, l.settings.Alone = 9, true
	l.SetMembers(0, []Member{{ID: "n-1"}})
	now := l.settings.Youth
	is.Equal(l.Allows(now-ms, Backend{Identity: 1, Zone: zone, Rate: 1}), false) // too young
	is.Equal(l.Allows(now, Backend{Identity: 1, Zone: "zone-b", Rate: 1}), false)
	is.True(l.Allows(now, Backend{Identity: 1, Zone: zone, Rate: 1}))
	l.SetMembers(now, []Member{{ID: "n-1", Leaving: true}})
	is.Equal(l.Allows(now, Backend{Identity: 1, Zone: zone, Rate: 1}), false)
}

// TestNodeThatKnowsNoOtherMayBeCutOff: unless it is configured to be alone.
func TestNodeThatKnowsNoOtherMayBeCutOff(t *testing.T) {
	is := is.New(t)
	l := New(DefaultSettings("n-1", zone))
	l.settings.Slack = 9
	backend := Backend{Identity: 1, Zone: zone, Rate: 1}
	l.SetMembers(0, []Member{{ID: "n-1"}})
	is.Equal(l.Allows(time.Hour, backend), false)
	l.SetMembers(time.Hour, []Member{{ID: "n-1"}, {ID: "n-2"}, {ID: "n-3"}})
	owner := l.Allows(time.Hour, backend)
	other := New(DefaultSettings("n-2", zone))
	other.settings.Slack = 9
	other.SetMembers(0, []Member{{ID: "n-1"}, {ID: "n-2"}})
	is.True(!owner || !other.Allows(time.Hour, backend)) // both rank alike
	l.SetMembers(2*time.Hour, []Member{{ID: "n-1"}})
	is.Equal(l.Allows(2*time.Hour, backend), false) // the last of three
}

// TestMemoryIsBounded: a membership that is told anew each second without a change costs
// nothing, and what was known most is forgotten as late as before.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	l := New(DefaultSettings("n-1", zone))
	three := []Member{{ID: "n-1"}, {ID: "n-2"}, {ID: "n-3"}}
	now := time.Duration(0)
	for range 100 {
		now += time.Second
		l.SetMembers(now, three)
	}
	is.Equal(len(l.counts), 1)
	for range 100 {
		now += time.Second
		l.SetMembers(now, three[:1])
	}
	is.Equal(len(l.counts), 2)
	fell := 101 * time.Second // when there was one left
	is.True(l.mayBeCutOff(fell + l.settings.Memory))
	l.settings.Alone = true
	is.Equal(l.mayBeCutOff(fell+l.settings.Memory+ms), false)
}

func TestPartOfTheBoundIsGivenBackAfterTheWindow(t *testing.T) {
	is := is.New(t)
	l := New(DefaultSettings("n-1", zone))
	l.settings.Alone = true
	l.SetMembers(0, []Member{{ID: "n-1"}})
	backend := Backend{Identity: 1, Zone: zone, Rate: 6}
	now := l.settings.Youth
	for range 2 {
		is.True(l.Allows(now, backend))
		l.Sent(now, backend.Identity)
	}
	is.Equal(l.Allows(now+l.settings.Window-ms, backend), false)
	is.True(l.Allows(now+l.settings.Window, backend))
	l.Forget(func(Identity) bool { return false })
	is.Equal(len(l.sent), 0)
}
