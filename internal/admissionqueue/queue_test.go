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

// opening returns an opening with a target of 400 ms, which may wait 80 ms.
func opening(flow lb.FlowID, priority uint16) Opening {
	return Opening{Flow: flow, Service: "web", Objective: lb.Objective{Priority: priority, TargetMillis: 400}}
}

// retryAll retries the queued openings with decide, and returns their flows in the order of the
// retries.
func retryAll(q *Queue[int], now time.Duration, decide func(*QueuedOpening[int], Phase) Outcome) (retried []lb.FlowID) {
	q.Retry(now, false, func(entry *QueuedOpening[int], phase Phase) Outcome {
		retried = append(retried, entry.Flow)
		return decide(entry, phase)
	})
	return retried
}

func keepWaiting(*QueuedOpening[int], Phase) Outcome { return OutcomeQueued }

// TestRetryOrder checks the order by priority and then by deadline, and the order by arrival where
// the settings select it.
func TestRetryOrder(t *testing.T) {
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
			is.True(q.Enqueue(time.Duration(i)*ms, o) != nil)
		}
		is.Equal(retryAll(q, 10*ms, keepWaiting), expected)
		is.Equal(q.Len(), 4)
	}
}

// TestFullAndDisabledQueuesRejectOpenings checks that a full queue, a disabled one, and one whose
// openings have an unknown target reject openings.
func TestFullAndDisabledQueuesRejectOpenings(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	settings.Capacity = 3
	q := New[int](settings)
	for i := range 5 {
		is.Equal(q.Enqueue(0, opening(lb.FlowID(i), 1)) != nil, i < 3)
	}
	is.Equal(q.Len(), 3)
	unknown := opening(9, 1)
	unknown.Objective.TargetMillis = 0
	is.True(New[int](DefaultSettings()).Enqueue(0, unknown) == nil)
	is.True(New[int](Settings{Off: true}).Enqueue(0, opening(1, 1)) == nil)
}

// TestQueuedOpeningIsDecidedBeforeFirstCopy checks that a queued opening is refused before its
// client can have sent a copy, even after a transit time of 40 ms, and that three tries of a client
// fit in its target together with the duration of an admitted try.
func TestQueuedOpeningIsDecidedBeforeFirstCopy(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	is.True(settings.MaxWait+settings.Grace+40*ms <= firstCopyDelay)
	is.True(3*settings.WaitShare+0.4 <= 1)
	q := New[int](settings)
	for _, target := range []uint32{400, 800, 10_000} {
		o := opening(lb.FlowID(target), 1)
		o.Objective.TargetMillis = target
		entry := q.Enqueue(0, o)
		is.True(entry.Due <= settings.MaxWait && entry.Due <= time.Duration(target)*ms/5)
	}
}

// TestPhases checks that an opening may stay queued until its deadline, must be decided then, and
// must be dropped once a copy may have reached another node.
func TestPhases(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		at    time.Duration
		phase Phase
	}{{10 * ms, PhaseWaiting}, {79 * ms, PhaseWaiting}, {80 * ms, PhaseFinal}, {120 * ms, PhaseFinal}, {121 * ms, PhaseExpired}, {time.Hour, PhaseExpired}} {
		q := New[int](DefaultSettings())
		q.Enqueue(0, opening(1, 1))
		retryAll(q, test.at, func(_ *QueuedOpening[int], phase Phase) Outcome {
			is.Equal(phase, test.phase)
			return OutcomeRemoved
		})
		is.Equal(q.Len(), 0)
	}
	q := New[int](DefaultSettings())
	q.Enqueue(0, opening(1, 1))
	q.Retry(ms, true, func(_ *QueuedOpening[int], phase Phase) Outcome {
		is.Equal(phase, PhaseFinal)
		return OutcomeRemoved
	})
}

// busyQueue returns a queue from which one opening was released at each retry, every 10 ms, for a
// second.
func busyQueue(settings Settings) (q *Queue[int], now time.Duration) {
	q = New[int](settings)
	for i := range 100 {
		now += settings.Interval
		q.Enqueue(now, opening(lb.FlowID(1000+i), 1))
		q.Enqueue(now, opening(lb.FlowID(2000+i), 1))
		released := false
		retryAll(q, now, func(_ *QueuedOpening[int], phase Phase) Outcome {
			if !released {
				released = true
				return OutcomeReleased
			}
			if phase == PhaseWaiting {
				return OutcomeQueued
			}
			return OutcomeRemoved
		})
	}
	return q, now
}

// TestUnservableOpeningIsRefusedAtOnce: one opening is released every 10 ms, so that about eight
// queued ones use up the 80 ms of the next one. Without the rule the queue keeps growing.
func TestUnservableOpeningIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	q, now := busyQueue(settings)
	for i := range 50 {
		q.Enqueue(now, opening(lb.FlowID(5000+i), 1))
	}
	is.True(q.Len() >= 6 && q.Len() <= 10)
	is.True(q.Enqueue(now, opening(1, 0)) != nil) // no opening is ahead of a more important one
	other := opening(2, 1)
	other.Service = "docs"
	is.True(q.Enqueue(now, other) != nil) // nor of one of another service

	settings.keepsUnservable = true
	q, now = busyQueue(settings)
	for i := range 50 {
		q.Enqueue(now, opening(lb.FlowID(5000+i), 1))
	}
	is.True(q.Len() > 50)
}

// TestFirstOpeningIsNeverUnservable: its retries are needed to detect that there is capacity again.
func TestFirstOpeningIsNeverUnservable(t *testing.T) {
	is := is.New(t)
	q := New[int](DefaultSettings())
	for now := time.Duration(0); now < 5*time.Second; now += 10 * ms {
		if q.Len() == 0 {
			is.True(q.Enqueue(now, opening(lb.FlowID(now), 1)) != nil)
		}
		retryAll(q, now, func(_ *QueuedOpening[int], phase Phase) Outcome {
			if phase == PhaseWaiting {
				return OutcomeQueued
			}
			return OutcomeRemoved
		})
	}
}

// firstBrokenProperty runs random operations on a queue and returns the first property that was
// broken, or an empty string.
func firstBrokenProperty(t *rapid.T, settings Settings) (broken string) {
	settings.Capacity = 8
	q := New[int](settings)
	now, flow := time.Duration(0), lb.FlowID(0)
	queued := make(map[lb.FlowID]time.Duration)
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		// After a pause of the process, the retry is late.
		now += time.Duration(rapid.SampledFrom([]int{0, 1, 5, 10, 30, 300}).Draw(t, "pause")) * ms
		if rapid.Bool().Draw(t, "arrives") {
			flow++
			o := opening(flow, uint16(rapid.IntRange(0, 2).Draw(t, "priority")))
			if q.Enqueue(now, o) != nil {
				queued[flow] = now
			}
		} else {
			retryAll(q, now, func(entry *QueuedOpening[int], phase Phase) Outcome {
				arrived, found := queued[entry.Flow]
				switch {
				case !found:
					broken = "decided twice"
				case phase != PhaseExpired && now-arrived > settings.MaxWait+settings.Grace:
					broken = "refused although a copy may be elsewhere"
				case phase == PhaseWaiting && now-arrived >= 80*ms:
					broken = "queued beyond its deadline"
				}
				capacity := rapid.IntRange(0, 3).Draw(t, "capacity") == 0
				switch {
				case phase == PhaseWaiting && !capacity:
					return OutcomeQueued
				case capacity && phase != PhaseExpired:
					delete(queued, entry.Flow)
					return OutcomeReleased
				}
				delete(queued, entry.Flow)
				return OutcomeRemoved
			})
		}
		if broken == "" && (q.Len() != len(queued) || q.Len() > settings.Capacity) {
			broken = "lost, or more queued than the capacity"
		}
		if broken != "" {
			return broken
		}
	}
	return ""
}

// TestNoQueuedOpeningIsLost checks that each queued opening is decided once and in time, whatever
// arrives and however late retries are. Without each of the rules the check must fail.
func TestNoQueuedOpeningIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if broken := firstBrokenProperty(t, DefaultSettings()); broken != "" {
			t.Fatal(broken)
		}
	})
	mutations := map[string]func(*Settings){
		"refused although a copy may be elsewhere": func(s *Settings) { s.refusesLate = true },
		"queued beyond its deadline":               func(s *Settings) { s.keepsOverdue = true },
	}
	for expected, change := range mutations {
		is := is.New(t)
		var found []string
		for seed := range 200 {
			settings := DefaultSettings()
			change(&settings)
			found = append(found, rapid.Custom(func(t *rapid.T) string { return firstBrokenProperty(t, settings) }).Example(seed))
		}
		is.True(slices.Contains(found, expected))
	}
}

// TestFindAndRemove checks that an opening is found by its flow until it is removed.
func TestFindAndRemove(t *testing.T) {
	is := is.New(t)
	q := New[int](DefaultSettings())
	q.Enqueue(0, opening(1, 1)).Data = 7
	q.Enqueue(0, opening(2, 1))
	found := q.Find(1)
	is.Equal(found.Data, 7)
	q.Remove(found)
	is.True(q.Find(1) == nil)
	is.True(q.Find(2) != nil)
	is.Equal(q.Len(), 1)
}

// knownShortFlows returns a FreeSlots that has measured that flows of the objective carry one
// request each.
func knownShortFlows(o Opening) *FreeSlots {
	free := NewFreeSlots(DefaultSettings())
	for range minFlows {
		free.RecordFlow(o.Service, o.Objective)
		free.RecordAnswer(0, o.Service, o.Objective, 0, false)
	}
	return free
}

// TestFreeSlotIsClaimedOnce checks that free slots of a service are claimed once, the most recent
// first, and not after FreeSlotTimeout.
func TestFreeSlotIsClaimedOnce(t *testing.T) {
	is := is.New(t)
	o := opening(1, 1)
	free := knownShortFlows(o)
	for identity := range uint64(3) {
		free.RecordAnswer(ms, o.Service, o.Objective, identity, true)
	}
	_, found := free.Claim(ms, "docs", o.Objective)
	is.True(!found)
	for _, expected := range []uint64{2, 1} {
		identity, found := free.Claim(2*ms, o.Service, o.Objective)
		is.True(found)
		is.Equal(identity, expected)
	}
	_, found = free.Claim(ms+DefaultSettings().FreeSlotTimeout+1, o.Service, o.Objective)
	is.True(!found) // expired
	for identity := range uint64(100) {
		free.RecordFlow(o.Service, o.Objective)
		free.RecordAnswer(ms, o.Service, o.Objective, identity, true)
	}
	claimed := 0
	for found := true; found; {
		if _, found = free.Claim(ms, o.Service, o.Objective); found {
			claimed++
		}
	}
	is.Equal(claimed, maxFreeSlots)
}

// TestNoFreeSlotForLongFlows checks that no free slot is claimed for flows with many requests, or
// for flows of unknown length.
func TestNoFreeSlotForLongFlows(t *testing.T) {
	is := is.New(t)
	short, long := opening(1, 1), opening(2, 2)
	free := knownShortFlows(short)
	free.RecordAnswer(0, short.Service, short.Objective, 5, true)
	_, found := free.Claim(0, long.Service, long.Objective)
	is.True(!found)
	for range 2 * maxFlows {
		free.RecordFlow(long.Service, long.Objective)
		for range 3 {
			free.RecordAnswer(0, long.Service, long.Objective, 0, false)
		}
	}
	_, found = free.Claim(0, long.Service, long.Objective)
	is.True(!found)
	_, found = free.Claim(0, short.Service, short.Objective)
	is.True(found)
	free.Forget(func(lb.ServiceName) bool { return false })
	is.Equal(len(free.kinds), 0)
}
