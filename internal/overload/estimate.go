package overload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// The load of a back end is the geometric mean of the response times of its requests, divided by
// the allowed response time. A queue lengthens all of them, whereas a few long ones, which are
// normal where times vary widely, hardly change this mean. A full back end rejects some requests
// immediately, at the application level, which a layer-4 balancer cannot see; answers far below the
// idle response time are therefore not counted. The pressure on a service is the median over its
// back ends, so that a few slow ones, or ones with packet loss, do not look like an overload of
// all.

// Bounds and weights of the estimates.
const (
	// minLoad and maxLoad bound the load computed from one request.
	minLoad, maxLoad = 0.01, 4
	// minSamples is the minimum number of answers for an estimate of a back end's load.
	minSamples = 4
	// neutralLoad is the assumed load of a service before any measurement. It has the weight of
	// neutralSamples answers.
	neutralLoad, neutralSamples = 0.5, 8
	// minWeight is the weight below which a back end is left out of the median.
	minWeight = 0.1
	// forgetWeight is the weight below which the state of a back end is deleted.
	forgetWeight = 0.001
)

// backend is the load estimate of one back end. Its measurements decay with the service's
// averagingTime.
type backend struct {
	service *service
	// logs is the sum of the logarithms of the loads of answered requests, and count is their
	// number.
	logs, count float64
	decayedAt   time.Duration
}

func (b *backend) decay(now time.Duration) {
	if now <= b.decayedAt {
		return
	}
	factor := math.Exp(-float64(now-b.decayedAt) / float64(b.service.averagingTime))
	b.decayedAt = now
	b.logs *= factor
	b.count *= factor
}

func (b *backend) addAnswer(now time.Duration, load float64) {
	b.decay(now)
	b.logs += math.Log(load)
	b.count++
}

// load returns the load of the back end. known is false unless there were enough recent answers.
func (b *backend) load(now time.Duration) (load float64, known bool) {
	b.decay(now)
	if b.count < minSamples {
		return 0, false
	}
	return b.mean(), true
}

func (b *backend) mean() float64 { return min(math.Exp(b.logs/b.count), maxLoad) }

// collect appends the load of the back end to those of its service. It returns false if the
// measurements have decayed, so that the back end can be deleted.
func (b *backend) collect(now time.Duration) bool {
	b.decay(now)
	if b.count > minWeight {
		b.service.loads = append(b.service.loads, weighted{load: b.mean(), weight: b.count})
	}
	return b.count > forgetWeight
}

// weighted is the load of one back end with the weight of its measurements.
type weighted struct {
	load, weight float64
}

// median returns the weighted median of the loads, including the neutral load, and the total weight
// without it. It sorts the loads.
func median(loads []weighted) (load, total float64) {
	slices.SortFunc(loads, func(a, b weighted) int { return cmp.Compare(a.load, b.load) })
	for _, l := range loads {
		total += l.weight
	}
	half := (total + neutralSamples) / 2
	below, neutral := 0.0, false
	for _, l := range loads {
		if !neutral && l.load > neutralLoad {
			neutral = true
			if below += neutralSamples; below >= half {
				return neutralLoad, total
			}
		}
		if below += l.weight; below >= half {
			return l.load, total
		}
	}
	return neutralLoad, total
}

// average returns the weighted mean in place of the median; see Settings.useMean.
func average(loads []weighted) (load, total float64) {
	for _, l := range loads {
		load += l.load * l.weight
		total += l.weight
	}
	return load / max(total, 1), total
}

// class holds the target and the estimated idle time of the requests with one objective.
type class struct {
	target float64 // in seconds; 0 means none
	idle   idleTime
}

func newClass(objective lb.Objective) *class {
	return &class{target: objective.Target().Seconds()}
}

// load returns a response time divided by the allowed response time, which is a multiple of the
// idle time or a fraction of the target, whichever is less.
func (c *class) load(latency time.Duration, settings *Settings) float64 {
	return c.relativeTime(latency, settings.TargetShare, settings.IdleRatio+settings.SpreadRatio*math.Sqrt(c.idle.variance))
}

// fleetLoad returns the load as it is reported to other balancers, relative to the longer response
// time that the fleet's settings allow.
func (c *class) fleetLoad(latency time.Duration, settings *Settings) float64 {
	return c.relativeTime(latency, settings.FleetTargetShare, settings.FleetIdleRatio+settings.SpreadRatio*math.Sqrt(c.idle.variance))
}

// relativeTime returns a response time divided by the given fraction of the target or by the given
// multiple of the idle time, whichever is less.
func (c *class) relativeTime(latency time.Duration, fraction, ratio float64) float64 {
	allowed := ratio * c.idle.value
	if c.target > 0 && (allowed == 0 || fraction*c.target < allowed) {
		allowed = fraction * c.target
	}
	if allowed == 0 {
		return neutralLoad
	}
	return max(minLoad, min(latency.Seconds()/allowed, maxLoad))
}

// Parameters of the estimate of the idle time.
const (
	idleRate    = 1.0 / 128 // minimum weight of an answer in the moving means
	idleSamples = 16        // minimum number of answers before an estimate is used
	// idleRise is the fraction of the difference to the present mean by which the estimate rises
	// each second. Back ends that have become slower permanently are thus accepted as they are
	// after some minutes.
	idleRise = 0.005
	// rejectionRatio is the fraction of the idle time below which an answer is counted as a
	// rejection by a full back end. More than maxRejections such answers in a row show that the
	// service really has become that fast.
	rejectionRatio = 0.3
	maxRejections  = 64
	// maxVariance bounds the variance that the estimate uses.
	maxVariance = 1.5
	// minSeconds is the minimum response time, in seconds: zero has no logarithm.
	minSeconds = 1e-6
)

// idleTime estimates the response time of idle back ends as the minimum of the moving geometric
// means, which rises slowly. It starts from the mean of the first answers, weighted by their times,
// which is hardly lowered by rejections of full back ends among them.
type idleTime struct {
	initialSquares, initialTotal float64 // sums over the first answers, in s² and s
	initialSamples               int     // number of the first answers
	meanLog                      float64 // moving mean of the logarithms of seconds
	logVariance                  float64 // moving mean of the squared distances from meanLog
	samples                      int
	value                        float64 // estimate in seconds; 0 means unknown
	variance                     float64 // logVariance as of value, bounded
	rejections                   int     // consecutive answers that were not counted
	updatedAt                    time.Duration
}

// add records the response time of a request. It returns false if the answer is not counted, as a
// rejection.
func (i *idleTime) add(now time.Duration, seconds float64, settings *Settings) bool {
	seconds = max(seconds, minSeconds)
	elapsed := min((now - i.updatedAt).Seconds(), 1)
	i.updatedAt = now
	switch {
	case i.initialSamples < idleSamples:
		i.addInitial(seconds)
		return true
	case i.isRejection(seconds) && !settings.countRejections:
		return false
	}
	i.samples++
	rate := max(idleRate, 1/float64(i.samples))
	distance := math.Log(seconds) - i.meanLog
	if i.samples == 1 {
		i.meanLog, distance = math.Log(seconds), 0
	}
	i.meanLog += distance * rate
	i.logVariance += (distance*distance - i.logVariance) * rate
	i.update(elapsed)
	return true
}

// addInitial adds one of the first answers to the initial estimate.
func (i *idleTime) addInitial(seconds float64) {
	i.initialSamples++
	i.initialSquares += seconds * seconds
	i.initialTotal += seconds
	if i.initialSamples == idleSamples {
		i.value = i.initialSquares / i.initialTotal
	}
}

// update lowers the estimate to the moving mean at once, or raises it towards the mean slowly.
func (i *idleTime) update(elapsed float64) {
	mean := math.Exp(i.meanLog)
	switch {
	case i.samples < idleSamples:
	case mean < i.value:
		i.value, i.variance = mean, min(i.logVariance, maxVariance)
	default:
		i.value += (mean - i.value) * idleRise * elapsed
		i.variance += (min(i.logVariance, maxVariance) - i.variance) * idleRise * elapsed
	}
}

// isRejection returns true if an answer is too fast to be a served request. If only such answers
// arrive, the estimate starts anew.
func (i *idleTime) isRejection(seconds float64) bool {
	if seconds >= rejectionRatio*i.value {
		i.rejections = 0
		return false
	}
	i.rejections++
	if i.rejections > maxRejections {
		*i = idleTime{updatedAt: i.updatedAt}
		i.addInitial(seconds)
		return false
	}
	return true
}
