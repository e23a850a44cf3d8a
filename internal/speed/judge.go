package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// judge is what the first node of a zone makes of the reports.
type judge struct {
	settings Settings
	nodes    int // of the fleet
	serving  map[Identity]lb.ServiceName
	records  map[Identity]*record
	// services are how long requests take at back ends that are not watched.
	services map[lb.ServiceName]*fading
}

// record is what is known of one back end, which is watched.
type record struct {
	lately    fading
	reporters float64 // nodes that have found it slow; fading with ReporterTime
	// watched, since a time: all that nodes see of it is reported.
	watched bool
	// sure: many nodes have found it slow, so that what they said counts.
	sure  bool
	since time.Duration
	heard time.Duration
	slow  bool
	log   float64 // of the factor
	// evenSince is since when it is as fast as the others; valid if even.
	even      bool
	evenSince time.Duration
	// step was told last, at toldAt; told: at all.
	step   uint8
	told   bool
	toldAt time.Duration
}

func newJudge(settings Settings) *judge {
	return &judge{settings: settings, records: make(map[Identity]*record), services: make(map[lb.ServiceName]*fading)}
}

// setServices takes the back ends that take new flows, and forgets others.
func (j *judge) setServices(services map[lb.ServiceName][]Identity) {
	j.serving = make(map[Identity]lb.ServiceName)
	for service, identities := range services {
		for _, identity := range identities {
			j.serving[identity] = service
		}
	}
	maps.DeleteFunc(j.records, func(identity Identity, _ *record) bool {
		_, present := j.serving[identity]
		return !present
	})
	maps.DeleteFunc(j.services, func(service lb.ServiceName, _ *fading) bool {
		_, present := services[service]
		return !present
	})
}

// hear takes what a zone has reported.
func (j *judge) hear(now time.Duration, report *message.SpeedReport) {
	for _, entry := range report.Backends {
		known := j.records[Identity(entry.Identity)]
		if known == nil {
			if _, serves := j.serving[Identity(entry.Identity)]; !serves || entry.Slow == 0 || len(j.records) >= maxKept {
				continue
			}
			known = &record{lately: fading{at: now}}
			j.records[Identity(entry.Identity)] = known
		}
		known.heard = now
		known.reporters += float64(entry.Slow)
		if known.watched && !known.sure && now-known.since < j.settings.HearingTime {
			continue // what comes now is of those nodes only that find it slow
		}
		known.lately.count += float64(entry.Count)
		known.lately.logs += float64(entry.Logs) / logScale
	}
	for _, entry := range report.Services {
		service := j.services[entry.Service]
		if service == nil {
			if len(j.services) >= maxKept {
				continue
			}
			service = &fading{at: now}
			j.services[entry.Service] = service
		}
		service.count += float64(entry.Count)
		service.logs += float64(entry.Logs) / logScale
	}
}

// judge moves the factors by a window, and gives the steps to tell and what has changed.
func (j *judge) judge(now time.Duration) ([]message.BackendStep, []Change) {
	for _, service := range j.services {
		service.fade(now, j.settings.HalfLife)
	}
	var changes []Change
	for _, identity := range slices.Sorted(maps.Keys(j.records)) {
		known := j.records[identity]
		elapsed := now - known.lately.at
		known.lately.fade(now, j.settings.HalfLife)
		known.reporters *= math.Exp2(-float64(elapsed) / float64(j.settings.ReporterTime))
		if !known.sure && known.reporters >= j.settings.Sure {
			known.watched, known.sure, known.since = true, true, now
		}
		if !known.watched && known.reporters >= j.reporters() {
			known.watched, known.since = true, now
			known.lately.tally = tally{}
		}
		was := known.slow
		distance := j.move(now, known, j.services[j.serving[identity]])
		if known.slow != was {
			changes = append(changes, Change{
				Identity: identity, Service: j.serving[identity], Slow: known.slow, Factor: math.Exp(known.log),
				Ratio: math.Exp(distance), Answers: known.lately.count, Reporters: known.reporters, Age: now - known.heard,
			})
		}
	}
	return j.steps(now), changes
}

// move brings the factor of a back end nearer to what was seen to be right, and
// gives how far its times are from those of the others.
func (j *judge) move(now time.Duration, known *record, others *fading) float64 {
	if !known.watched || others == nil || others.count < j.settings.LeastAnswers || known.lately.count < j.settings.LeastAnswers*math.Exp(known.log) {
		known.log -= known.log * j.settings.Forgive
		known.settle(now, known.log > -almostOne)
		return 0
	}
	reference := others.mean()
	if known.slow {
		reference = min(reference, mostQueued)
	}
	distance := known.lately.mean() - reference
	slow := distance > j.settings.Slow && known.reporters >= j.reporters()
	known.slow = known.slow || slow
	target := 0.0
	if known.slow && distance > j.settings.Even {
		target = max(-distance, math.Log(j.settings.Least))
	}
	known.log += (target - known.log) * j.settings.Gain
	if target == 0 {
		known.log = 0 // it shows its speed with little to do; callers are waiting for it
	}
	known.settle(now, target == 0 && known.log > -almostOne && distance < j.settings.Slow)
	return distance
}

// mostQueued is how much of the others' times over the idle ones is put down to their
// speed while a back end is slow: it has little to do by then, and no queue, while the
// others' queues lengthen their times. Without it back ends four times slower were taken
// for even under load, and given their part again.
var mostQueued = math.Log(1.5)

// reporters is how many nodes must find a back end slow: fleets of one have no more.
func (j *judge) reporters() float64 {
	if j.nodes <= 1 {
		return 0.5
	}
	return j.settings.Reporters
}

// almostOne is how near to 0 the logarithm of a factor is that counts as one: half a step.
const almostOne = math.Ln2 / stepsPerHalf / 2

// settle notes whether a back end is as fast as the others.
func (r *record) settle(now time.Duration, even bool) {
	if even && !r.even {
		r.evenSince = now
	}
	r.even = even
	if even {
		r.slow = false
		r.log = 0
	}
}

// evenTime is how long a back end is watched after it was last found slow.
const evenTime = time.Second

// steps gives what is to be told now: what has changed first, then what is to be
// renewed, the longest ago first.
func (j *judge) steps(now time.Duration) []message.BackendStep {
	var due []Identity
	for identity, known := range j.records {
		if known.even && now-known.evenSince >= evenTime && known.step == 0 && known.reporters < j.reporters() {
			delete(j.records, identity)
			continue
		}
		if !known.watched {
			continue
		}
		if !known.told || stepOf(known.log) != known.step || now-known.toldAt >= j.settings.RenewTime {
			due = append(due, identity)
		}
	}
	slices.SortFunc(due, func(a, b Identity) int {
		left, right := j.records[a], j.records[b]
		return cmp.Or(cmp.Compare(right.news(), left.news()), cmp.Compare(left.toldAt, right.toldAt), cmp.Compare(a, b))
	})
	due = due[:min(len(due), j.settings.Entries)]
	steps := make([]message.BackendStep, 0, len(due))
	for _, identity := range due {
		known := j.records[identity]
		known.step, known.told, known.toldAt = stepOf(known.log), true, now
		steps = append(steps, message.BackendStep{Identity: uint64(identity), Step: known.step})
	}
	return steps
}

// news is by how much the step differs from what was told; one that was not told of goes first.
func (r *record) news() int {
	if !r.told {
		return message.MostSpeedStep + 1
	}
	difference := int(stepOf(r.log)) - int(r.step)
	return max(difference, -difference)
}
