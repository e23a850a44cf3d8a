package overload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// The load of a back end is the geometric mean of the times of its requests, over
// what they may take: a queue lengthens all of them, while a few long ones, which
// are the rule where times spread widely, hardly move it. Back ends that are full answer some
// requests at once, with a refusal of their own that the path does not show:
// answers far below what an idle back end takes do not count. The pressure on a
// service is the median over its back ends, so that a few of them that are slow, or
// lose packets, do not pass for a crowd before all.

// Bounds of what is weighed.
const (
	// minLoad and maxLoad bound what one request counts.
	minLoad, maxLoad = 0.01, 4
	// fewestSamples is how many answers of a back end tell something of its load.
	fewestSamples = 4
	// neutralLoad is what is taken of a service, with the weight of neutralSamples,
	// before anything was seen.
	neutralLoad, neutralSamples = 0.5, 8
	// faded is the weight below which a back end has not been seen.
	faded = 0.1
	// gone is the weight below which nothing is known of it.
	gone = 0.001
)

// backend is what is known of one back end. What was seen fades.
type backend struct {
	service *service
	// logs is the sum of the logarithms of the loads of answered requests, count
	// their number.
	logs, count float64
	at          time.Duration
}

func (b *backend) fade(now time.Duration) {
	if now <= b.at {
		return
	}
	part := math.Exp(-float64(now-b.at) / float64(b.service.memory))
	b.at = now
	b.logs *= part
	b.count *= part
}

func (b *backend) answered(now time.Duration, load float64) {
	b.fade(now)
	b.logs += math.Log(load)
	b.count++
}

// load is known once enough was seen a short time ago.
func (b *backend) load(now time.Duration) (load float64, known bool) {
	b.fade(now)
	if b.count < fewestSamples {
		return 0, false
	}
	return b.mean(), true
}

func (b *backend) mean() float64 { return min(math.Exp(b.logs/b.count), maxLoad) }

// gather adds the back end to what is known of its service, and tells whether
// anything is known of it.
func (b *backend) gather(now time.Duration) bool {
	b.fade(now)
	if b.count > faded {
		b.service.loads = append(b.service.loads, weighted{load: b.mean(), weight: b.count})
	}
	return b.count > gone
}

// weighted is the load of one back end, and how much was seen of it.
type weighted struct {
	load, weight float64
}

// median gives the load that half of the weight is below, and the weight.
// It sorts the loads.
func median(loads []weighted) (load, seen float64) {
	slices.SortFunc(loads, func(a, b weighted) int { return cmp.Compare(a.load, b.load) })
	for _, l := range loads {
		seen += l.weight
	}
	half := (seen + neutralSamples) / 2
	below, neutral := 0.0, false
	for _, l := range loads {
		if !neutral && l.load > neutralLoad {
			neutral = true
			if below += neutralSamples; below >= half {
				return neutralLoad, seen
			}
		}
		if below += l.weight; below >= half {
			return l.load, seen
		}
	}
	return neutralLoad, seen
}

// average is the mean by weight; see Settings.plainMean.
func average(loads []weighted) (load, seen float64) {
	for _, l := range loads {
		load += l.load * l.weight
		seen += l.weight
	}
	return load / max(seen, 1), seen
}

// class is what requests of one objective take.
type class struct {
	target float64 // seconds; 0: not said
	idle   idleTime
}

func newClass(objective lb.Objective) *class {
	return &class{target: objective.Target().Seconds()}
}

// load is a time over what a request may take: some times what it takes at idle
// back ends, or a part of its target, whichever is less.
func (c *class) load(took time.Duration, settings *Settings) float64 {
	return c.over(took, settings.TargetShare, settings.IdleRatio+settings.SpreadRatio*math.Sqrt(c.idle.variance))
}

// late is the load as nodes tell each other: over what a request may take at the latest.
func (c *class) late(took time.Duration, settings *Settings) float64 {
	return c.over(took, settings.LateShare, settings.LateRatio+settings.SpreadRatio*math.Sqrt(c.idle.variance))
}

// over is a time over the lesser of a part of the target and some times the idle time.
func (c *class) over(took time.Duration, share, ratio float64) float64 {
	allowed := ratio * c.idle.value
	if c.target > 0 && (allowed == 0 || share*c.target < allowed) {
		allowed = share * c.target
	}
	if allowed == 0 {
		return neutralLoad
	}
	return max(minLoad, min(took.Seconds()/allowed, maxLoad))
}

// Rates of the time with idle back ends.
const (
	idleRate    = 1.0 / 128
	idleSamples = 16 // before they count
	// idleRise is the part of the gap to the present mean that the estimate
	// makes good each second, so that back ends that have become slower for
	// good are taken as they are after some minutes.
	idleRise = 0.005
	// quickPart is the part of the idle time below which an answer is taken for
	// a refusal of a full back end, and mostQuick how many of these in a row show
	// that the service has become that quick.
	quickPart = 0.3
	mostQuick = 64
	// mostSpread bounds the variance that is believed.
	mostSpread = 1.5
	// shortestTime, in seconds, has a logarithm.
	shortestTime = 1e-6
)

// idleTime estimates what requests take while back ends are idle: the least of
// the moving geometric means, which rises slowly. It begins with the mean by time of
// the first answers, which refusals of full back ends among them hardly lower.
type idleTime struct {
	squares, total float64 // sums over the first answers, in seconds
	first          int     // how many of these there were
	log            float64 // moving mean of the logarithms of seconds
	spread         float64 // moving mean of their squared distances from it
	samples        int
	value          float64 // seconds; 0: not known
	variance       float64 // spread, as of value
	quick          int     // answers in a row that did not count
	at             time.Duration
}

// add takes the time of a request, and tells whether it counts.
func (i *idleTime) add(now time.Duration, seconds float64, settings *Settings) bool {
	seconds = max(seconds, shortestTime)
	elapsed := min((now - i.at).Seconds(), 1)
	i.at = now
	switch {
	case i.first < idleSamples:
		i.begin(seconds)
		return true
	case i.isQuick(seconds) && !settings.countQuick:
		return false
	}
	i.samples++
	rate := max(idleRate, 1/float64(i.samples))
	distance := math.Log(seconds) - i.log
	if i.samples == 1 {
		i.log, distance = math.Log(seconds), 0
	}
	i.log += distance * rate
	i.spread += (distance*distance - i.spread) * rate
	i.follow(elapsed)
	return true
}

// begin takes one of the first answers.
func (i *idleTime) begin(seconds float64) {
	i.first++
	i.squares += seconds * seconds
	i.total += seconds
	if i.first == idleSamples {
		i.value = i.squares / i.total
	}
}

// follow falls to the moving mean, or rises towards it.
func (i *idleTime) follow(elapsed float64) {
	mean := math.Exp(i.log)
	switch {
	case i.samples < idleSamples:
	case mean < i.value:
		i.value, i.variance = mean, min(i.spread, mostSpread)
	default:
		i.value += (mean - i.value) * idleRise * elapsed
		i.variance += (min(i.spread, mostSpread) - i.variance) * idleRise * elapsed
	}
}

// isQuick tells whether an answer is too quick to be one. Where nothing else
// comes, the estimate begins anew.
func (i *idleTime) isQuick(seconds float64) bool {
	if seconds >= quickPart*i.value {
		i.quick = 0
		return false
	}
	i.quick++
	if i.quick > mostQuick {
		*i = idleTime{at: i.at}
		i.begin(seconds)
		return false
	}
	return true
}
