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

	tick     = 100 * time.Millisecond // of a balancer
	overdue  = 100 * time.Millisecond // when a missing answer shows
	arrivals = 20 * time.Millisecond  // between openings, as of a crowded zone
)

// world drives a tracker as a balancer does that sends openings to zones by turns.
type world struct {
	*Tracker
	now     time.Duration
	opened  int
	cut     map[lb.Zone]bool // back ends do not answer
	mute    map[lb.Zone]bool // balancers are not heard
	refused int
	sent    int
	changes []Change
	pending []missing
}

// missing is an opening whose answer will be missing.
type missing struct {
	zone     lb.Zone
	identity Identity
	sent     time.Duration
}

func newWorld() *world {
	return &world{Tracker: New(DefaultSettings("zone-own")), cut: map[lb.Zone]bool{}, mute: map[lb.Zone]bool{}}
}

// run lets time pass with openings, ticks and members that are heard.
func (w *world) run(lasting time.Duration) {
	for end := w.now + lasting; w.now < end; w.now += arrivals {
		w.showMissing()
		if w.now%tick == 0 {
			w.Tick(w.now)
		}
		if w.now%(5*tick) == 0 {
			w.hear()
		}
		w.open()
		w.changes = append(w.changes, w.Changes()...)
	}
}

func (w *world) showMissing() {
	for len(w.pending) > 0 && w.now-w.pending[0].sent >= overdue {
		w.Unanswered(w.now, w.pending[0].zone, w.pending[0].identity, w.pending[0].sent)
		w.pending = w.pending[1:]
	}
}

func (w *world) hear() {
	for _, zone := range []lb.Zone{zoneA, zoneB} {
		if !w.mute[zone] {
			w.Heard(w.now, zone, w.now, false)
		}
	}
}

// open sends one opening to a zone that is reached, or as a probe.
func (w *world) open() {
	w.opened++
	zones := []lb.Zone{zoneA, zoneB}
	if w.opened%2 == 0 {
		zones = []lb.Zone{zoneB, zoneA}
	}
	for _, zone := range zones {
		if !w.Reaches(zone) && !w.Probe(w.now, zone) {
			continue
		}
		w.sent++
		if w.cut[zone] {
			w.pending = append(w.pending, missing{zone, Identity(w.opened % 40), w.now})
		} else {
			w.Answered(w.now, zone)
		}
		return
	}
	w.refused++
}

func (w *world) cutOff(zones ...lb.Zone) {
	for _, zone := range zones {
		w.cut[zone], w.mute[zone] = true, true
	}
}

func (w *world) restore() { clear(w.cut); clear(w.mute) }

// TestCutZoneWithoutBackEndsOfItsOwn: the load is that of all callers of a zone
// that is cut off from the only zones with back ends. They are refused within half
// a second, a usual objective, but for probes, and served within as much of the return.
func TestCutZoneWithoutBackEndsOfItsOwn(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.SetNodes(24)
	w.run(2 * time.Second)
	is.True(w.All())
	w.cutOff(zoneA, zoneB)
	w.run(500 * time.Millisecond)
	is.True(!w.Reaches(zoneA) && !w.Reaches(zoneB))
	w.sent, w.refused = 0, 0
	w.run(6 * time.Second)
	is.True(w.sent >= 16 && w.sent <= 21) // one in 600 ms to each zone
	is.Equal(w.sent+w.refused, int(6*time.Second/arrivals))
	w.restore()
	w.run(700 * time.Millisecond)
	is.True(w.All())
	w.refused = 0
	w.run(2 * time.Second)
	is.Equal(w.refused, 0)
	is.Equal(len(w.changes), 4)
	is.Equal(w.changes[0].Reached, false)
	is.Equal(w.changes[0].Silent, 4)
	is.True(w.changes[0].Answered > 0 && w.changes[0].Heard > 0 && w.changes[0].Silence >= 200*time.Millisecond)
	is.True(w.changes[2].Reached && w.changes[2].By != "" && w.changes[2].Probes > 0)
}

// TestCutInTheMiddleOfASpill: one of two zones that take flows is cut off; the
// other gets what there is, and nobody is refused.
func TestCutInTheMiddleOfASpill(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.run(2 * time.Second)
	w.cutOff(zoneB)
	w.run(5 * time.Second)
	is.True(w.Reaches(zoneA))
	is.True(!w.Reaches(zoneB))
	is.Equal(w.refused, 0)
	w.restore()
	w.run(time.Second)
	is.True(w.All())
}

// TestOneNodeAloneIsCutOff: it refuses, so that its callers come through others at
// once; a node that hears others goes on.
func TestOneNodeAloneIsCutOff(t *testing.T) {
	is := is.New(t)
	alone, other := newWorld(), newWorld()
	for _, w := range []*world{alone, other} {
		w.run(2 * time.Second)
	}
	alone.cutOff(zoneA, zoneB)
	for _, w := range []*world{alone, other} {
		w.run(3 * time.Second)
	}
	is.True(alone.refused > 0)
	is.Equal(other.refused, 0)
	is.True(other.All())
}

// TestBalancersOfAZoneAreDead: its back ends answer, so that it is reached.
func TestBalancersOfAZoneAreDead(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.run(2 * time.Second)
	w.mute[zoneB] = true
	for range 50 {
		w.Heard(w.now, zoneB, time.Second, true)
		w.run(200 * time.Millisecond)
		is.True(w.All())
		// One opening in five is lost, on its way or back.
		w.Unanswered(w.now, zoneB, Identity(w.opened), w.now-overdue)
	}
	is.Equal(len(w.changes), 0)
}

// TestBackEndsOfAllZonesDie: balancers there are heard, so that no zone is given up
// twice, nor for longer than until then; the back ends count as silent one by one.
func TestBackEndsOfAllZonesDie(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.run(2 * time.Second)
	w.cut[zoneB] = true
	w.cut[zoneA] = true
	w.run(time.Second)
	is.True(len(w.changes) <= 4)
	w.refused, w.changes = 0, nil
	w.run(20 * time.Second)
	is.Equal(w.refused, 0)
	is.Equal(len(w.changes), 0)
	clear(w.cut)
	w.run(time.Second)
	w.cutOff(zoneA, zoneB)
	w.run(time.Second)
	is.True(!w.Reaches(zoneA) && !w.Reaches(zoneB)) // it can be given up again
}

// TestStartOfAll: callers' openings go on while no back end has ever answered.
func TestStartOfAll(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.cutOff(zoneA, zoneB)
	w.run(10 * time.Second)
	is.Equal(w.refused, 0)
	is.True(w.All())
}

// TestPauseProvesNothing: answers have waited in the socket, or were dropped.
func TestPauseProvesNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.run(2 * time.Second)
	for number := range 20 {
		w.pending = append(w.pending, missing{zoneA, Identity(number), w.now})
	}
	w.now += 3 * time.Second
	w.Tick(w.now)
	w.run(time.Second)
	is.Equal(len(w.changes), 0)
	is.Equal(w.refused, 0)
}

// TestMembershipHelpsWhereFewAreSent: a second silent back end is enough where the
// membership does not reach the zone, one never is.
func TestMembershipHelpsWhereFewAreSent(t *testing.T) {
	is := is.New(t)
	tracker := New(DefaultSettings("zone-own"))
	tracker.Answered(time.Second, zoneA)
	tracker.Heard(time.Second, zoneA, time.Second, true)
	tracker.Unanswered(2*time.Second, zoneA, 1, 1900*time.Millisecond)
	tracker.Unanswered(3*time.Second, zoneA, 1, 2900*time.Millisecond)
	is.True(tracker.All())
	tracker.Unanswered(4*time.Second, zoneA, 2, 3900*time.Millisecond)
	is.True(!tracker.Reaches(zoneA))
	tracker.Heard(5*time.Second, zoneA, 3*time.Second, true) // told late
	is.True(!tracker.Reaches(zoneA))
	tracker.Forget(func(lb.Zone) bool { return false })
	is.True(tracker.All())
}

// TestOneSilentBackEnd: however often it leaves openings unanswered, it is not its zone.
func TestOneSilentBackEnd(t *testing.T) {
	is := is.New(t)
	tracker := New(DefaultSettings("zone-own"))
	tracker.Answered(0, zoneA)
	for now := time.Second; now < 10*time.Second; now += arrivals {
		tracker.Unanswered(now, zoneA, 7, now-overdue)
	}
	is.True(tracker.All())
}

// TestRandomSchedules: whatever happens, a zone with a sign of life since is reached,
// one that never answered is too, and probes keep their bound.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 33))
			tracker := New(DefaultSettings("zone-own"))
			nodes := 1 + random.IntN(300)
			tracker.SetNodes(nodes)
			zones := []lb.Zone{zoneA, zoneB, "zone-c"}
			answered, signs, given := map[lb.Zone]bool{}, map[lb.Zone]time.Duration{}, map[lb.Zone]int{}
			probes := map[lb.Zone][]time.Duration{}
			now := time.Duration(0)
			for range 3000 {
				now += time.Duration(random.IntN(30)) * time.Millisecond
				zone := zones[random.IntN(len(zones))]
				switch event := random.IntN(100); {
				case event < 60:
					sent := now - overdue - time.Duration(random.IntN(50))*time.Millisecond
					before := tracker.Reaches(zone)
					tracker.Unanswered(now, zone, Identity(random.IntN(10)), sent)
					if before && !tracker.Reaches(zone) {
						given[zone]++
						is.True(answered[zone])
						is.True(now-signs[zone] >= 200*time.Millisecond)
					}
				case event < 61:
					tracker.Answered(now, zone)
					answered[zone], signs[zone] = true, now
					is.True(tracker.Reaches(zone))
				case event < 62:
					tracker.Heard(now, zone, now, false)
					signs[zone] = now
					is.True(tracker.Reaches(zone))
				case event < 80:
					if tracker.Probe(now, zone) {
						is.True(!tracker.Reaches(zone))
						probes[zone] = append(probes[zone], now)
					}
				default:
					tracker.Tick(now)
				}
				missing := 0
				for _, zone := range zones {
					if !tracker.Reaches(zone) {
						missing++
					}
				}
				is.Equal(tracker.All(), missing == 0)
			}
			is.True(given[zoneA]+given[zoneB] > 0) // it happens
			for _, times := range probes {
				for index := 1; index < len(times); index++ {
					apart := (times[index] - times[index-1]).Seconds()
					is.True(apart >= 0.25 && apart >= float64(nodes)/40)
				}
			}
		})
	}
}
