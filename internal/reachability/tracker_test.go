package reachability

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

const (
	zoneA = lb.Zone("zone-a")
	zoneB = lb.Zone("zone-b")

	tick            = 100 * time.Millisecond // tick interval of a balancer
	answerTimeout   = 100 * time.Millisecond // after which an opening counts as unanswered
	openingInterval = 20 * time.Millisecond  // between openings, as in an overloaded zone
)

// simulation drives a tracker like a balancer that sends openings to its zones alternately.
type simulation struct {
	*Tracker
	now           time.Duration
	opened        int
	backEndsDown  map[lb.Zone]bool // zones whose back ends do not answer
	balancersDown map[lb.Zone]bool // zones whose balancers send no messages
	refused       int
	sent          int
	changes       []Change
	pending       []unansweredOpening
}

// unansweredOpening is an opening that will get no answer.
type unansweredOpening struct {
	zone     lb.Zone
	identity Identity
	sent     time.Duration
}

func newSimulation() *simulation {
	return &simulation{Tracker: New(DefaultSettings("zone-own")), backEndsDown: map[lb.Zone]bool{}, balancersDown: map[lb.Zone]bool{}}
}

// run simulates a span of time with openings, ticks and messages from members.
func (w *simulation) run(span time.Duration) {
	for end := w.now + span; w.now < end; w.now += openingInterval {
		w.reportUnanswered()
		if w.now%tick == 0 {
			w.Tick(w.now)
		}
		if w.now%(5*tick) == 0 {
			w.reportMembers()
		}
		w.open()
		w.changes = append(w.changes, w.Changes()...)
	}
}

func (w *simulation) reportUnanswered() {
	for len(w.pending) > 0 && w.now-w.pending[0].sent >= answerTimeout {
		w.RecordUnanswered(w.now, w.pending[0].zone, w.pending[0].identity, w.pending[0].sent)
		w.pending = w.pending[1:]
	}
}

func (w *simulation) reportMembers() {
	for _, zone := range []lb.Zone{zoneA, zoneB} {
		if !w.balancersDown[zone] {
			w.RecordMemberSeen(w.now, zone, w.now, false)
		}
	}
}

// open sends one opening to a reachable zone, or as a probe.
func (w *simulation) open() {
	w.opened++
	zones := []lb.Zone{zoneA, zoneB}
	if w.opened%2 == 0 {
		zones = []lb.Zone{zoneB, zoneA}
	}
	for _, zone := range zones {
		if !w.Reachable(zone) && !w.Probe(w.now, zone) {
			continue
		}
		w.sent++
		if w.backEndsDown[zone] {
			w.pending = append(w.pending, unansweredOpening{zone, Identity(w.opened % 40), w.now})
		} else {
			w.RecordAnswer(w.now, zone)
		}
		return
	}
	w.refused++
}

func (w *simulation) partition(zones ...lb.Zone) {
	for _, zone := range zones {
		w.backEndsDown[zone], w.balancersDown[zone] = true, true
	}
}

func (w *simulation) heal() { clear(w.backEndsDown); clear(w.balancersDown) }

// TestPartitionedZoneWithoutLocalBackEnds covers a zone that is partitioned from the only zones
// with back ends. All its openings except probes must be refused within half a second, a usual
// objective, and served again within about the same time after the partition heals.
func TestPartitionedZoneWithoutLocalBackEnds(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.SetNodes(24)
	w.run(2 * time.Second)
	is.True(w.AllReachable())
	w.partition(zoneA, zoneB)
	w.run(500 * time.Millisecond)
	is.True(!w.Reachable(zoneA) && !w.Reachable(zoneB))
	w.sent, w.refused = 0, 0
	w.run(6 * time.Second)
	is.True(w.sent >= 16 && w.sent <= 21) // one in 600 ms to each zone
	is.Equal(w.sent+w.refused, int(6*time.Second/openingInterval))
	w.heal()
	w.run(700 * time.Millisecond)
	is.True(w.AllReachable())
	w.refused = 0
	w.run(2 * time.Second)
	is.Equal(w.refused, 0)
	is.Equal(len(w.changes), 4)
	is.Equal(w.changes[0].Reachable, false)
	is.Equal(w.changes[0].Unresponsive, 4)
	is.True(w.changes[0].SinceAnswer > 0 && w.changes[0].SinceMemberSeen > 0 && w.changes[0].UnresponsiveFor >= 200*time.Millisecond)
	is.True(w.changes[2].Reachable && w.changes[2].LifeSign != "" && w.changes[2].Probes > 0)
}

// TestPartitionDuringOverflow checks that if one of two zones that accept flows becomes
// unreachable, the other zone gets all flows and none is refused.
func TestPartitionDuringOverflow(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.run(2 * time.Second)
	w.partition(zoneB)
	w.run(5 * time.Second)
	is.True(w.Reachable(zoneA))
	is.True(!w.Reachable(zoneB))
	is.Equal(w.refused, 0)
	w.heal()
	w.run(time.Second)
	is.True(w.AllReachable())
}

// TestSingleNodeIsPartitioned checks that a partitioned node refuses openings, so that its clients
// immediately retry at other nodes, while a node that still receives messages continues.
func TestSingleNodeIsPartitioned(t *testing.T) {
	is := is.New(t)
	partitioned, other := newSimulation(), newSimulation()
	for _, w := range []*simulation{partitioned, other} {
		w.run(2 * time.Second)
	}
	partitioned.partition(zoneA, zoneB)
	for _, w := range []*simulation{partitioned, other} {
		w.run(3 * time.Second)
	}
	is.True(partitioned.refused > 0)
	is.Equal(other.refused, 0)
	is.True(other.AllReachable())
}

// TestZoneWithoutBalancersIsReachable checks that a zone whose balancers are dead stays reachable
// while its back ends answer.
func TestZoneWithoutBalancersIsReachable(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.run(2 * time.Second)
	w.balancersDown[zoneB] = true
	for range 50 {
		w.RecordMemberSeen(w.now, zoneB, time.Second, true)
		w.run(200 * time.Millisecond)
		is.True(w.AllReachable())
		// One opening in five is lost, in either direction.
		w.RecordUnanswered(w.now, zoneB, Identity(w.opened), w.now-answerTimeout)
	}
	is.Equal(len(w.changes), 0)
}

// TestBackEndsOfAllZonesFail checks that if messages from balancers still arrive, no zone becomes
// unreachable more than once, nor for longer than until the next message; the back ends are handled
// individually instead.
func TestBackEndsOfAllZonesFail(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.run(2 * time.Second)
	w.backEndsDown[zoneB] = true
	w.backEndsDown[zoneA] = true
	w.run(time.Second)
	is.True(len(w.changes) <= 4)
	w.refused, w.changes = 0, nil
	w.run(20 * time.Second)
	is.Equal(w.refused, 0)
	is.Equal(len(w.changes), 0)
	clear(w.backEndsDown)
	w.run(time.Second)
	w.partition(zoneA, zoneB)
	w.run(time.Second)
	is.True(!w.Reachable(zoneA) && !w.Reachable(zoneB)) // the zones can become unreachable again
}

// TestZonesWithoutAnyAnswerStayReachable checks that openings are not refused before any back end
// has ever answered.
func TestZonesWithoutAnyAnswerStayReachable(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.partition(zoneA, zoneB)
	w.run(10 * time.Second)
	is.Equal(w.refused, 0)
	is.True(w.AllReachable())
}

// TestOpeningsBeforePauseAreIgnored checks that a pause of the process makes no zone unreachable:
// answers may have waited in the socket, or been dropped.
func TestOpeningsBeforePauseAreIgnored(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.run(2 * time.Second)
	for number := range 20 {
		w.pending = append(w.pending, unansweredOpening{zoneA, Identity(number), w.now})
	}
	w.now += 3 * time.Second
	w.Tick(w.now)
	w.run(time.Second)
	is.Equal(len(w.changes), 0)
	is.Equal(w.refused, 0)
}

// TestFewerUnresponsiveBackEndsSufficeIfMembershipLost checks that two unresponsive back ends
// suffice if the membership also considers the zone lost, but one never does.
func TestFewerUnresponsiveBackEndsSufficeIfMembershipLost(t *testing.T) {
	is := is.New(t)
	tracker := New(DefaultSettings("zone-own"))
	tracker.RecordAnswer(time.Second, zoneA)
	tracker.RecordMemberSeen(time.Second, zoneA, time.Second, true)
	tracker.RecordUnanswered(2*time.Second, zoneA, 1, 1900*time.Millisecond)
	tracker.RecordUnanswered(3*time.Second, zoneA, 1, 2900*time.Millisecond)
	is.True(tracker.AllReachable())
	tracker.RecordUnanswered(4*time.Second, zoneA, 2, 3900*time.Millisecond)
	is.True(!tracker.Reachable(zoneA))
	tracker.RecordMemberSeen(5*time.Second, zoneA, 3*time.Second, true) // an outdated time
	is.True(!tracker.Reachable(zoneA))
	tracker.Forget(func(lb.Zone) bool { return false })
	is.True(tracker.AllReachable())
}

// TestOneUnresponsiveBackEndIsNotEnough checks that openings unanswered by a single back end,
// however many, do not make its zone unreachable.
func TestOneUnresponsiveBackEndIsNotEnough(t *testing.T) {
	is := is.New(t)
	tracker := New(DefaultSettings("zone-own"))
	tracker.RecordAnswer(0, zoneA)
	for now := time.Second; now < 10*time.Second; now += openingInterval {
		tracker.RecordUnanswered(now, zoneA, 7, now-answerTimeout)
	}
	is.True(tracker.AllReachable())
}

// TestRandomSchedules checks with random events that a zone is reachable after each sign of life
// and as long as it has never answered, and that probes keep their minimum interval.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 33))
			tracker := New(DefaultSettings("zone-own"))
			nodes := 1 + random.IntN(300)
			tracker.SetNodes(nodes)
			zones := []lb.Zone{zoneA, zoneB, "zone-c"}
			answered, signs, unreachable := map[lb.Zone]bool{}, map[lb.Zone]time.Duration{}, map[lb.Zone]int{}
			probes := map[lb.Zone][]time.Duration{}
			now := time.Duration(0)
			for range 3000 {
				now += time.Duration(random.IntN(30)) * time.Millisecond
				zone := zones[random.IntN(len(zones))]
				switch event := random.IntN(100); {
				case event < 60:
					sent := now - answerTimeout - time.Duration(random.IntN(50))*time.Millisecond
					before := tracker.Reachable(zone)
					tracker.RecordUnanswered(now, zone, Identity(random.IntN(10)), sent)
					if before && !tracker.Reachable(zone) {
						unreachable[zone]++
						is.True(answered[zone])
						is.True(now-signs[zone] >= 200*time.Millisecond)
					}
				case event < 61:
					tracker.RecordAnswer(now, zone)
					answered[zone], signs[zone] = true, now
					is.True(tracker.Reachable(zone))
				case event < 62:
					tracker.RecordMemberSeen(now, zone, now, false)
					signs[zone] = now
					is.True(tracker.Reachable(zone))
				case event < 80:
					if tracker.Probe(now, zone) {
						is.True(!tracker.Reachable(zone))
						probes[zone] = append(probes[zone], now)
					}
				default:
					tracker.Tick(now)
				}
				lost := 0
				for _, zone := range zones {
					if !tracker.Reachable(zone) {
						lost++
					}
				}
				is.Equal(tracker.AllReachable(), lost == 0)
			}
			is.True(unreachable[zoneA]+unreachable[zoneB] > 0) // zones became unreachable at least once
			for _, times := range probes {
				for index := 1; index < len(times); index++ {
					interval := (times[index] - times[index-1]).Seconds()
					is.True(interval >= 0.25 && interval >= float64(nodes)/40)
				}
			}
		})
	}
}
