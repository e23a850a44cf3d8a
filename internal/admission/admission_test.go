package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"robinpulley.example/robinpulley/internal/fleetload"
)

const (
	ms    = time.Millisecond
	slots = 240.0
)

// noOpenFlows returns 0 for every priority: each flow carries one request.
func noOpenFlows(uint16) float64 { return 0 }

// simulation models clients and back ends as sums in virtual time, without nodes or packets.
// Clients request work at two priorities, retry refused openings immediately, and queue at the back
// ends.
type simulation struct {
	random      *rand.Rand
	now         time.Duration
	demand      [2]float64 // in slots, the more important priority first
	tries       int
	speed       float64 // actual capacity of the back ends, as a multiple of their slots
	delay       time.Duration
	window      time.Duration
	service     Service
	backlog     float64 // queued work, in seconds of all back ends
	levels      [2]fleetload.Level
	load        float64
	states      []fleetload.Service
	begun       [2]float64 // in the most recent step
	smoothedUse float64    // moving mean of the used fraction of the capacity over half a second
	alter       func(*fleetload.Service)
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		random: rand.New(rand.NewPCG(seed, 3)), demand: [2]float64{50, 60}, tries: 3, speed: 1, load: 0.3,
		delay: 400 * ms, window: 300 * ms, alter: func(*fleetload.Service) {},
	}
}

const step = 50 * ms

// advance advances the time, and calls each after each step.
func (p *simulation) advance(length time.Duration, each func()) {
	for end := p.now + length; p.now < end; p.now += step {
		p.startRequests()
		p.queue()
		p.publish()
		if p.now%(200*ms) == 0 {
			p.update()
		}
		each()
	}
}

// startRequests computes the clients' tries of one step.
func (p *simulation) startRequests() {
	for index := range p.demand {
		rate := p.service.RateOf(uint16(index + 1))
		refused := math.Pow(1-rate, float64(p.tries))
		requested := p.demand[index] * (1 + 0.03*p.random.NormFloat64())
		p.begun[index] = requested * (1 - refused)
		tries := 0.0
		for try := range p.tries {
			tries += math.Pow(1-rate, float64(try+1))
		}
		p.smooth(&p.levels[index].Begun, p.begun[index])
		p.smooth(&p.levels[index].Refused, requested*tries)
	}
}

func (p *simulation) smooth(sum *float64, value float64) {
	*sum += (value - *sum) * float64(step) / float64(p.window)
}

// queue adds excess work to the queues, which are full at four times the time of a request.
func (p *simulation) queue() {
	const work, maxWait = 0.05, 0.2
	capacity := slots * p.speed
	p.smoothedUse += (p.used() - p.smoothedUse) * 0.1
	used := min((p.begun[0]+p.begun[1])/capacity, 0.99)
	p.backlog += ((p.begun[0]+p.begun[1])/capacity - 1) * step.Seconds()
	p.backlog = max(0, min(p.backlog, maxWait))
	random := min(0.5*used*used/(1-used*used)*work, maxWait) // mean random queue of two slots
	latency := work + max(p.backlog, random)
	p.smooth(&p.load, latency/(3.3*work))
}

// publish appends the present sums; update reads them after the delay.
func (p *simulation) publish() {
	report := fleetload.Service{SummedAt: p.now, Zones: []fleetload.Zone{
		{Zone: "za", Levels: []fleetload.Level{p.level(0, 0.6), p.level(1, 0.6)}, Load: p.load, Answers: 2000},
		{Zone: "zb", Levels: []fleetload.Level{p.level(0, 0.4), p.level(1, 0.4)}, Load: p.load, Answers: 2000},
	}}
	p.states = append(p.states, report)
}

func (p *simulation) level(index int, fraction float64) fleetload.Level {
	return fleetload.Level{
		Priority: uint16(index + 1), Begun: fraction * p.levels[index].Begun, Refused: fraction * p.levels[index].Refused,
	}
}

func (p *simulation) update() {
	behind := int(p.delay / step)
	if len(p.states) <= behind {
		return
	}
	report := p.states[len(p.states)-1-behind]
	p.alter(&report)
	settings := DefaultSettings()
	p.service.Update(p.now, &report, slots, noOpenFlows, &settings)
}

// used returns the work begun as a fraction of the capacity of the back ends.
func (p *simulation) used() float64 { return (p.begun[0] + p.begun[1]) / (slots * p.speed) }

// mean returns the mean of a value over some time.
func (p *simulation) mean(length time.Duration, value func() float64) float64 {
	sum, count := 0.0, 0.0
	p.advance(length, func() { sum += value(); count++ })
	return sum / count
}

// minFinalUse and maxFinalUse bound the fraction of the capacity that is used after convergence.
// Less would waste capacity, and more would let requests queue for longer than clients allow.
const minFinalUse, maxFinalUse = 0.85, 1.0

// TestStepOfDemand raises the demand above the capacity at once. After two seconds the admitted
// work must be within 6% of its final value, or above it but within the capacity (where the demand
// exceeds it only slightly), and it must never exceed the final value by more than 10% again.
// Reports are up to 0.8 s old, including 0.3 s for averaging the sums.
func TestStepOfDemand(t *testing.T) {
	for _, tries := range []int{2, 3} {
		for _, times := range []float64{2.6, 4, 6} {
			for _, delay := range []time.Duration{300 * ms, 500 * ms} {
				t.Run(fmt.Sprintf("%d tries, times %.1f, reports after %v", tries, times, delay), func(t *testing.T) {
					is := is.New(t)
					p := newSimulation(1)
					p.tries, p.delay = tries, delay
					p.advance(3*time.Second, func() { is.Equal(p.service.Refuses(), false) })
					p.demand = [2]float64{100, 60 * times}
					p.advance(2*time.Second, func() {})
					after, highest := p.mean(500*ms, p.used), 0.0
					p.advance(6*time.Second, func() { highest = max(highest, p.smoothedUse) })
					final := p.mean(4*time.Second, p.used)
					is.True(final > minFinalUse && final < maxFinalUse)
					is.True(after > 0.94*final && after < max(1.06*final, maxFinalUse))
					is.True(highest < 1.1*final)
				})
			}
		}
	}
}

// TestClientsThatDoNotRetry: the rate may oscillate for some seconds, and must then converge.
func TestClientsThatDoNotRetry(t *testing.T) {
	for _, times := range []float64{2.6, 4, 6} {
		is := is.New(t)
		p := newSimulation(1)
		p.tries, p.delay = 1, 300*ms
		p.advance(3*time.Second, func() {})
		p.demand = [2]float64{100, 60 * times}
		p.advance(6*time.Second, func() {})
		final := p.mean(4*time.Second, p.used)
		is.True(final > minFinalUse && final < maxFinalUse)
	}
}

// TestWrongWorkEstimate checks that the admitted work converges if the assumed work per request is
// too high or too low, as it is while back ends are slow or have never been measured idle.
func TestWrongWorkEstimate(t *testing.T) {
	for _, speed := range []float64{0.7, 0.85, 1.2} {
		is := is.New(t)
		p := newSimulation(1)
		p.speed = speed
		p.demand = [2]float64{100, 240}
		p.advance(15*time.Second, func() {})
		final := p.mean(5*time.Second, p.used)
		is.True(final > 0.8 && final < 1.02)
	}
}

// TestMoreImportantFirst checks that the more important openings are all admitted while refusing
// the less important ones suffices.
func TestMoreImportantFirst(t *testing.T) {
	is := is.New(t)
	p := newSimulation(1)
	p.demand = [2]float64{150, 400}
	p.advance(10*time.Second, func() { is.Equal(p.service.RateOf(1), 1.0) })
	is.True(p.service.RateOf(2) < 0.4)
	is.Equal(p.service.RateOf(9), p.service.RateOf(2)) // unknown priority
}

// TestOpenFlowsAreNotRefused: if less important clients keep their flows, their openings are
// refused until there is capacity, and the capacity that their flows use remains available to more
// important openings.
func TestOpenFlowsAreNotRefused(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	state := fleetload.Service{Zones: []fleetload.Zone{{Zone: "za", Load: 1.2, Answers: 2000, Levels: []fleetload.Level{
		{Priority: 1, Begun: 250, Refused: 150}, {Priority: 2, Begun: 320, Refused: 100},
	}}}}
	openFlowShare := func(priority uint16) float64 { return map[uint16]float64{2: 0.95}[priority] }
	var service Service
	service.Update(time.Second, &state, slots, openFlowShare, &settings)
	is.Equal(service.RateOf(1), 1.0)
	is.Equal(service.RateOf(2), 0.0)
	state.Zones[0].Levels[0] = fleetload.Level{Priority: 1, Begun: 80}
	var shortFlows Service
	shortFlows.Update(time.Second, &state, slots, noOpenFlows, &settings)
	is.True(shortFlows.RateOf(2) > 0) // the same sums, with one request per opening
}

// TestRestartedNode checks that a restarted node uses the other nodes' rates, within 5% of the
// openings, from its first report on.
func TestRestartedNode(t *testing.T) {
	is := is.New(t)
	p := newSimulation(1)
	p.demand = [2]float64{100, 240}
	p.advance(8*time.Second, func() {})
	settings := DefaultSettings()
	for range 10 {
		p.advance(200*ms, func() {})
		report := p.states[len(p.states)-1-int(p.delay/step)]
		var restarted Service
		restarted.Update(p.now, &report, slots, noOpenFlows, &settings)
		is.True(math.Abs(restarted.RateOf(2)-p.service.RateOf(2)) < 0.05)
	}
}

// TestNothingIsRefusedBelowCapacity checks that nothing is refused while there is capacity, with
// few requests or slow back ends too.
func TestNothingIsRefusedBelowCapacity(t *testing.T) {
	settings := DefaultSettings()
	level := func(begun float64) []fleetload.Level { return []fleetload.Level{{Priority: 2, Begun: begun}} }
	cases := map[string]fleetload.Zone{
		"no answers":                       {},
		"two slow answers a second":        {Load: 4, Answers: 2, Levels: level(200)},
		"far from the limit":               {Load: 0.3, Answers: 2000, Levels: level(120)},
		"work overestimated three times":   {Load: 0.4, Answers: 2000, Levels: level(500)},
		"slow back ends, half used":        {Load: 1.2, Answers: 500, Levels: level(60)},
		"one answer in a hundred rejected": {Load: 0.4, Answers: 2000, Rejected: 20, Levels: level(120)},
	}
	for name, zone := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var service Service
			for second := range 20 {
				state := fleetload.Service{Zones: []fleetload.Zone{zone}}
				service.Update(time.Duration(second+1)*time.Second, &state, slots, noOpenFlows, &settings)
				is.Equal(service.RateOf(2), 1.0)
			}
			var unknown Service
			unknown.Update(time.Second, &fleetload.Service{Zones: []fleetload.Zone{{Load: 0.4, Answers: 2000, Levels: level(900)}}}, 0, noOpenFlows, &settings)
			is.Equal(unknown.RateOf(2), 1.0) // an unknown number of slots limits nothing
		})
	}
}

// TestWrongSums multiplies a tenth of the reports by factors from 1/100 to 100. The mean admitted
// work must stay near the right amount, and must converge to it soon afterwards.
func TestWrongSums(t *testing.T) {
	is := is.New(t)
	p := newSimulation(1)
	p.demand = [2]float64{100, 240}
	p.advance(5*time.Second, func() {})
	p.alter = func(state *fleetload.Service) {
		if p.random.IntN(10) > 0 {
			return
		}
		factor := math.Exp(4.6 * (2*p.random.Float64() - 1))
		for zone := range state.Zones {
			state.Zones[zone].Load *= factor
			levels := append([]fleetload.Level(nil), state.Zones[zone].Levels...)
			for index := range levels {
				levels[index].Begun *= factor
				levels[index].Refused *= 2 - min(factor, 2)
			}
			state.Zones[zone].Levels = levels
		}
	}
	is.True(p.mean(20*time.Second, p.used) > 0.7)
	p.alter = func(*fleetload.Service) {}
	p.advance(3*time.Second, func() {})
	final := p.mean(2*time.Second, p.used)
	is.True(final > minFinalUse-0.05 && final < maxFinalUse)
}

// TestAnyReport checks that rates are numbers from 0 to 1 that do not rise towards less important
// priorities, whatever sums are reported.
func TestAnyReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		amount := rapid.OneOf(rapid.SampledFrom([]float64{0, -1, 1e-9, 1e12}), rapid.Float64Range(0, 500))
		zone := rapid.Custom(func(t *rapid.T) fleetload.Zone {
			z := fleetload.Zone{Load: amount.Draw(t, "load"), Answers: amount.Draw(t, "answers"), Rejected: amount.Draw(t, "rejected")}
			for priority := range rapid.IntRange(0, 4).Draw(t, "levels") {
				z.Levels = append(z.Levels, fleetload.Level{
					Priority: uint16(priority), Begun: amount.Draw(t, "begun"), Refused: amount.Draw(t, "refused"),
				})
			}
			return z
		})
		var service Service
		now := time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "pause"))
			state := fleetload.Service{SummedAt: now, Zones: rapid.SliceOfN(zone, 0, 3).Draw(t, "zones")}
			openFlowShare := rapid.Float64Range(-1, 2).Draw(t, "open flow share")
			service.Update(now, &state, amount.Draw(t, "slots"), func(uint16) float64 { return openFlowShare }, &settings)
			if ratio := service.capacityRatio; ratio < settings.MinWork || ratio > settings.MaxWork {
				t.Fatalf("capacity ratio %v", ratio)
			}
			maxRate := 1.0
			for priority := range uint16(5) {
				admitted := service.RateOf(priority)
				if !(admitted >= 0 && admitted <= maxRate) {
					t.Fatalf("rates %v", service.Rates())
				}
				maxRate = admitted
			}
		}
	})
}
