package admissionqueue

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"robinpulley.example/robinpulley/internal/lb"
)

const ms = time.Millisecond

// opening gives one of a service, with a target of 400 ms: it may wait 80 ms.
func opening(flow lb.FlowID, priority uint16) Opening {
	return Opening{Flow: flow, Service: "web", Objective: lb.Objective{Priority: priority, TargetMillis: 400}}
}

// retryAll has each opening that waits decided by decide, and gives the flows in the order in which they were asked for.
func retryAll(q *Queue[int], now time.Duration, decide func(*Waiter[int], Chance) Fate) (asked []lb.FlowID) {
	q.Look(now, false, func(w *Waiter[int], chance Chance) Fate {
		asked = append(asked, w.Flow)
		return decide(w, chance)
	})
	return asked
}

func keepWaiting(*Waiter[int], Chance) Fate { return FateWaits }

// TestTheMoreImportantIsAskedForFirst, then the one whose time is up first; by arrival alone where that is set.
func TestTheMoreImportantIsAskedForFirst(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	orders := map[Order][]lb.FlowID{ByPriority: {4, 3, 1, 2}, ByArrival: {1, 2, 3, 4}}
	for order, expected := range orders {
		settings.Order = order
		q := New[int](settings)
		for i, priority := range []uint16{2, 2, 1, 1} {
			o := opening(lb.FlowID(i+1), priority)
			if i == 3 {
				o.Objective.TargetMillis = 200
			}
			is.True(q.Hold(time.Duration(i)*ms, o) != nil)
		}
		is.Equal(retryAll(q, 10*ms, keepWaiting), expected)
		is.Equal(q.Len(), 4)
	}
}

// TestBounds: a full queue, one that is off, and openings whose callers cannot wait hold nothing.
func TestBounds(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	settings.Capacity = 3
	q := New[int](settings)
	for i := range 5 {
		is.Equal(q.Hold(0, opening(lb.FlowID(i), 1)) != nil, i < 3)
	}
	is.Equal(q.Len(), 3)
	unknown := opening(9, 1)
	unknown.Objective.TargetMillis = 0
	is.True(New[int](DefaultSettings()).Hold(0, unknown) == nil)
	is.True(New[int](Settings{Off: true}).Hold(0, opening(1, 1)) == nil)
}

// TestDecidedBeforeTheFirstCopy: what is held is refused at the latest when its
// caller cannot have sent a copy, also if 40 ms went by on the way; three tries of
// a caller fit in its objective with the time that a try takes.
func TestDecidedBeforeTheFirstCopy(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	is.True(settings.MaxWait+settings.Grace+40*ms <= firstCopyDelay)
	is.True(3*settings.Share+0.4 <= 1)
	q := New[int](settings)
	for _, target := range []uint32{400, 800, 10_000} {
		o := opening(lb.FlowID(target), 1)
		o.Objective.TargetMillis = target
		w := q.Hold(0, o)
		is.True(w.Due <= settings.MaxWait && w.Due <= time.Duration(target)*ms/5)
	}
}

// TestChances: more until it is due, then the last one, and none once a copy may be elsewhere.
func TestChances(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		at     time.Duration
		chance Chance
	}{{10 * ms, ChanceMore}, {79 * ms, ChanceMore}, {80 * ms, ChanceLast}, {120 * ms, ChanceLast}, {121 * ms, ChanceGone}, {time.Hour, ChanceGone}} {
		q := New[int](DefaultSettings())
		q.Hold(0, opening(1, 1))
		retryAll(q, test.at, func(_ *Waiter[int], chance Chance) Fate {
			is.Equal(chance, test.chance)
			return FateEnded
		})
		is.Equal(q.Len(), 0)
	}
	q := New[int](DefaultSettings())
	q.Hold(0, opening(1, 1))
	q.Look(ms, true, func(_ *Waiter[int], chance Chance) Fate {
		is.Equal(chance, ChanceLast)
		return FateEnded
	})
}

// busyQueue is a queue from which one opening goes at each look, every 10 ms, for a second.
func busyQueue(settings Settings) (q *Queue[int], now time.Duration) {
	q = New[int](settings)
	for i := range 100 {
		now += settings.Interval
		q.Hold(now, opening(lb.FlowID(1000+i), 1))
		q.Hold(now, opening(lb.FlowID(2000+i), 1))
		went := false
		retryAll(q, now, func(_ *Waiter[int], chance Chance) Fate {
			if !went {
				went = true
				return FateWent
			}
			if chance == ChanceMore {
				return FateWaits
			}
			return FateEnded
		})
	}
	return q, now
}

// TestWhatCannotBeMetIsRefusedAtOnce: one goes every 10 ms, so that some eight that
// wait use up the 80 ms of the next. With the rule taken out the queue goes on growing.
func TestWhatCannotBeMetIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	q, now := busyQueue(settings)
	for i := range 50 {
		q.Hold(now, opening(lb.FlowID(5000+i), 1))
	}
	is.True(q.Len() >= 6 && q.Len() <= 10)
	is.True(q.Hold(now, opening(1, 0)) != nil) // nobody is ahead of a more important one
	other := opening(2, 1)
	other.Service = "docs"
	is.True(q.Hold(now, other) != nil) // nor of one of another service

	settings.keepsUnservable = true
	q, now = busyQueue(settings)
	for i := range 50 {
		q.Hold(now, opening(lb.FlowID(5000+i), 1))
	}
	is.True(q.Len() > 50)
}

// TestTheFirstIsNeverWithoutHope: so that it is seen when there is room again.
func TestTheFirstIsNeverWithoutHope(t *testing.T) {
	is := is.New(t)
	q := New[int](DefaultSettings())
	for now := time.Duration(0); now < 5*time.Second; now += 10 * ms {
		if q.Len() == 0 {
			is.True(q.Hold(now, opening(lb.FlowID(now), 1)) != nil)
		}
		retryAll(q, now, func(_ *Waiter[int], chance Chance) Fate {
			if chance == ChanceMore {
				return FateWaits
			}
			return FateEnded
		})
	}
}

// firstBrokenProperty plays a queue at random and says which property was broken.
func firstBrokenProperty(t *rapid.T, settings Settings) (broken string) {
	settings.Capacity = 8
	q := New[int](settings)
	now, flow := time.Duration(0), lb.FlowID(0)
	waits := make(map[lb.FlowID]time.Duration)
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		// A process that pauses looks late.
		now += time.Duration(rapid.SampledFrom([]int{0, 1, 5, 10, 30, 300}).Draw(t, "gap")) * ms
		if rapid.Bool().Draw(t, "arrives") {
			flow++
			o := opening(flow, uint16(rapid.IntRange(0, 2).Draw(t, "priority")))
			if q.Hold(now, o) != nil {
				waits[flow] = now
			}
		} else {
			retryAll(q, now, func(w *Waiter[int], chance Chance) Fate {
				arrived, held := waits[w.Flow]
				switch {
				case !held:
					broken = "decided twice"
				case chance != ChanceGone && now-arrived > settings.MaxWait+settings.Grace:
					broken = "refused when a copy may be elsewhere"
				case chance == ChanceMore && now-arrived >= 80*ms:
					broken = "waits beyond its time"
				}
				room := rapid.IntRange(0, 3).Draw(t, "room") == 0
				switch {
				case chance == ChanceMore && !room:
					return FateWaits
				case room && chance != ChanceGone:
					delete(waits, w.Flow)
					return FateWent
				}
				delete(waits, w.Flow)
				return FateEnded
			})
		}
		if broken == "" && (q.Len() != len(waits) || q.Len() > settings.Capacity) {
			broken = "lost, or held beyond the bound"
		}
		if broken != "" {
			return broken
		}
	}
	return ""
}

// TestNothingHeldIsLost: each opening that is held is decided once, in its time,
// whatever comes and however late looks are. Each rule taken out breaks it.
func TestNothingHeldIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if broken := firstBrokenProperty(t, DefaultSettings()); broken != "" {
			t.Fatal(broken)
		}
	})
	mutants := map[string]func(*Settings){
		"refused when a copy may be elsewhere": func(s *Settings) { s.refusesLate = true },
		"waits beyond its time":                func(s *Settings) { s.keepsOverdue = true },
	}
	for expected, change := range mutants {
		is := is.New(t)
		var seen []string
		for seed := range 200 {
			settings := DefaultSettings()
			change(&settings)
			seen = append(seen, rapid.Custom(func(t *rapid.T) string { return firstBrokenProperty(t, settings) }).Example(seed))
		}
		is.True(slices.Contains(seen, expected))
	}
}

// TestFindAndRemove: an opening is found by its flow until it is taken out.
func TestFindAndRemove(t *testing.T) {
	is := is.New(t)
	q := New[int](DefaultSettings())
	q.Hold(0, opening(1, 1)).Kept = 7
	q.Hold(0, opening(2, 1))
	found := q.Find(1)
	is.Equal(found.Kept, 7)
	q.Remove(found)
	is.True(q.Find(1) == nil)
	is.True(q.Find(2) != nil)
	is.Equal(q.Len(), 1)
}

// knownShortFlows are rooms that know flows of the objective to bring one request.
func knownShortFlows(o Opening) *FreeSlots {
	r := NewFreeSlots(DefaultSettings())
	for range minFlows {
		r.Opened(o.Service, o.Objective)
		r.Answered(0, o.Service, o.Objective, 0, false)
	}
	return r
}

// TestRoomIsTakenOnce, the one that was seen last first, while it is news, by its service.
func TestRoomIsTakenOnce(t *testing.T) {
	is := is.New(t)
	o := opening(1, 1)
	r := knownShortFlows(o)
	for identity := range uint64(3) {
		r.Answered(ms, o.Service, o.Objective, identity, true)
	}
	_, found := r.Claim(ms, "docs", o.Objective)
	is.True(!found)
	for _, expected := range []uint64{2, 1} {
		identity, found := r.Claim(2*ms, o.Service, o.Objective)
		is.True(found)
		is.Equal(identity, expected)
	}
	_, found = r.Claim(ms+DefaultSettings().FreeSlotTimeout+1, o.Service, o.Objective)
	is.True(!found) // too old
	for identity := range uint64(100) {
		r.Opened(o.Service, o.Objective)
		r.Answered(ms, o.Service, o.Objective, identity, true)
	}
	taken := 0
	for found := true; found; {
		if _, found = r.Claim(ms, o.Service, o.Objective); found {
			taken++
		}
	}
	is.Equal(taken, maxFreeSlots)
}

// TestNoRoomForFlowsThatBringMany requests, nor for those of which nothing is known.
func TestNoRoomForFlowsThatBringMany(t *testing.T) {
	is := is.New(t)
	short, long := opening(1, 1), opening(2, 2)
	r := knownShortFlows(short)
	r.Answered(0, short.Service, short.Objective, 5, true)
	_, found := r.Claim(0, long.Service, long.Objective)
	is.True(!found)
	for range 2 * maxFlows {
		r.Opened(long.Service, long.Objective)
		for range 3 {
			r.Answered(0, long.Service, long.Objective, 0, false)
		}
	}
	_, found = r.Claim(0, long.Service, long.Objective)
	is.True(!found)
	_, found = r.Claim(0, short.Service, short.Objective)
	is.True(found)
	r.Forget(func(lb.ServiceName) bool { return false })
	is.Equal(len(r.kinds), 0)
}
