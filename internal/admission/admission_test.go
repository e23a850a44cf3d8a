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

// fresh tells that no flow is kept.
func fresh(uint16) float64 { return 0 }

// plant is callers and back ends in virtual time, as sums: no node, no packet. Callers ask for work at
// two priorities, try refused openings again at once, and wait in the queues of the back ends.
type plant struct {
	random  *rand.Rand
	now     time.Duration
	demand  [2]float64 // slots, the more important first
	tries   int
	speed   float64 // what back ends can do, in slots, over what their slots say
	news    time.Duration
	window  time.Duration
	service Service
	backlog float64 // work that waits, in seconds of all back ends
	levels  [2]fleetload.Level
	load    float64
	delayed []fleetload.Service
	begun   [2]float64 // of the last step
	mostly  float64    // what is used of what back ends can do, in the mean over half a second
	tell    func(*fleetload.Service)
}

func newPlant(seed uint64) *plant {
	return &plant{
		random: rand.New(rand.NewPCG(seed, 3)), demand: [2]float64{50, 60}, tries: 3, speed: 1, load: 0.3,
		news: 400 * ms, window: 300 * ms, tell: func(*fleetload.Service) {},
	}
}

const step = 50 * ms

// pass lets time pass, and calls each after each step.
func (p *plant) pass(length time.Duration, each func()) {
	for end := p.now + length; p.now < end; p.now += step {
		p.begin()
		p.wait()
		p.sum()
		if p.now%(200*ms) == 0 {
			p.learn()
		}
		each()
	}
}

// begin has callers try.
func (p *plant) begin() {
	for index := range p.demand {
		part := p.service.PartOf(uint16(index + 1))
		refused := math.Pow(1-part, float64(p.tries))
		asked := p.demand[index] * (1 + 0.03*p.random.NormFloat64())
		p.begun[index] = asked * (1 - refused)
		tries := 0.0
		for try := range p.tries {
			tries += math.Pow(1-part, float64(try+1))
		}
		p.follow(&p.levels[index].Begun, p.begun[index])
		p.follow(&p.levels[index].Refused, asked*tries)
	}
}

func (p *plant) follow(known *float64, value float64) {
	*known += (value - *known) * float64(step) / float64(p.window)
}

// wait has what is too much wait, up to full queues: four times the time of a request.
func (p *plant) wait() {
	const work, most = 0.05, 0.2
	can := slots * p.speed
	p.mostly += (p.used() - p.mostly) * 0.1
	used := min((p.begun[0]+p.begun[1])/can, 0.99)
	p.backlog += ((p.begun[0]+p.begun[1])/can - 1) * step.Seconds()
	p.backlog = max(0, min(p.backlog, most))
	random := min(0.5*used*used/(1-used*used)*work, most) // queue by chance, two slots
	took := work + max(p.backlog, random)
	p.follow(&p.load, took/(3.3*work))
}

// sum tells the sums as they were some time ago.
func (p *plant) sum() {
	told := fleetload.Service{At: p.now, Zones: []fleetload.Zone{
		{Zone: "za", Levels: []fleetload.Level{p.level(0, 0.6), p.level(1, 0.6)}, Load: p.load, Answers: 2000},
		{Zone: "zb", Levels: []fleetload.Level{p.level(0, 0.4), p.level(1, 0.4)}, Load: p.load, Answers: 2000},
	}}
	p.delayed = append(p.delayed, told)
}

func (p *plant) level(index int, part float64) fleetload.Level {
	return fleetload.Level{
		Priority: uint16(index + 1), Begun: part * p.levels[index].Begun, Refused: part * p.levels[index].Refused,
	}
}

func (p *plant) learn() {
	behind := int(p.news / step)
	if len(p.delayed) <= behind {
		return
	}
	told := p.delayed[len(p.delayed)-1-behind]
	p.tell(&told)
	settings := DefaultSettings()
	p.service.Learn(p.now, &told, slots, fresh, &settings)
}

// used is the work begun, in parts of what back ends can do.
func (p *plant) used() float64 { return (p.begun[0] + p.begun[1]) / (slots * p.speed) }

// mean gives the mean of a value over some time.
func (p *plant) mean(length time.Duration, value func() float64) float64 {
	sum, count := 0.0, 0.0
	p.pass(length, func() { sum += value(); count++ })
	return sum / count
}

// right is the part of what back ends can do that is used in the end: less would lose work, and more
// would have requests wait for longer than callers allow.
const leastRight, mostRight = 0.85, 1.0

// TestStepOfDemand: two seconds after callers begin to ask for more than back ends can do, the work
// that is let in is what it is in the end, within 6%, or more than that but no more than back ends can
// do (where callers ask for little more), and never again past it by more than 10%. News are up to 0.8 s
// old, 0.3 s of it the time over which sums are taken.
func TestStepOfDemand(t *testing.T) {
	for _, tries := range []int{2, 3} {
		for _, times := range []float64{2.6, 4, 6} {
			for _, news := range []time.Duration{300 * ms, 500 * ms} {
				t.Run(fmt.Sprintf("%d tries, times %.1f, news after %v", tries, times, news), func(t *testing.T) {
					is := is.New(t)
					p := newPlant(1)
					p.tries, p.news = tries, news
					p.pass(3*time.Second, func() { is.Equal(p.service.Refuses(), false) })
					p.demand = [2]float64{100, 60 * times}
					p.pass(2*time.Second, func() {})
					after, most := p.mean(500*ms, p.used), 0.0
					p.pass(6*time.Second, func() { most = max(most, p.mostly) })
					right := p.mean(4*time.Second, p.used)
					is.True(right > leastRight && right < mostRight)
					is.True(after > 0.94*right && after < max(1.06*right, mostRight))
					is.True(most < 1.1*right)
				})
			}
		}
	}
}

// TestCallersWhoDoNotComeAgain: the part may swing for some seconds, and is right then.
func TestCallersWhoDoNotComeAgain(t *testing.T) {
	for _, times := range []float64{2.6, 4, 6} {
		is := is.New(t)
		p := newPlant(1)
		p.tries, p.news = 1, 300*ms
		p.pass(3*time.Second, func() {})
		p.demand = [2]float64{100, 60 * times}
		p.pass(6*time.Second, func() {})
		right := p.mean(4*time.Second, p.used)
		is.True(right > leastRight && right < mostRight)
	}
}

// TestWorkTakenWrongly: the right work is found where what requests are at idle back ends is taken
// for more or less than it is, as it is while back ends are slow or were never seen idle.
func TestWorkTakenWrongly(t *testing.T) {
	for _, speed := range []float64{0.7, 0.85, 1.2} {
		is := is.New(t)
		p := newPlant(1)
		p.speed = speed
		p.demand = [2]float64{100, 240}
		p.pass(15*time.Second, func() {})
		right := p.mean(5*time.Second, p.used)
		is.True(right > 0.8 && right < 1.02)
	}
}

// TestMoreImportantFirst: they lose nothing while the less important alone are too many.
func TestMoreImportantFirst(t *testing.T) {
	is := is.New(t)
	p := newPlant(1)
	p.demand = [2]float64{150, 400}
	p.pass(10*time.Second, func() { is.Equal(p.service.PartOf(1), 1.0) })
	is.True(p.service.PartOf(2) < 0.4)
	is.Equal(p.service.PartOf(9), p.service.PartOf(2)) // not heard of: no more than those above it
}

// TestOpenFlowsAreNotRefused: where the less important keep their flows, their openings are
// refused until there is room, and the more important take the room that the flows use.
func TestOpenFlowsAreNotRefused(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	known := fleetload.Service{Zones: []fleetload.Zone{{Zone: "za", Load: 1.2, Answers: 2000, Levels: []fleetload.Level{
		{Priority: 1, Begun: 250, Refused: 150}, {Priority: 2, Begun: 320, Refused: 100},
	}}}}
	held := func(priority uint16) float64 { return map[uint16]float64{2: 0.95}[priority] }
	var service Service
	service.Learn(time.Second, &known, slots, held, &settings)
	is.Equal(service.PartOf(1), 1.0)
	is.Equal(service.PartOf(2), 0.0)
	known.Zones[0].Levels[0] = fleetload.Level{Priority: 1, Begun: 80}
	var fresher Service
	fresher.Learn(time.Second, &known, slots, fresh, &settings)
	is.True(fresher.PartOf(2) > 0) // the same sums, where each opening brings one request
}

// TestRestartedNode: it lets in what the others do from its first news on, within 5% of the openings.
func TestRestartedNode(t *testing.T) {
	is := is.New(t)
	p := newPlant(1)
	p.demand = [2]float64{100, 240}
	p.pass(8*time.Second, func() {})
	settings := DefaultSettings()
	for range 10 {
		p.pass(200*ms, func() {})
		told := p.delayed[len(p.delayed)-1-int(p.news/step)]
		var restarted Service
		restarted.Learn(p.now, &told, slots, fresh, &settings)
		is.True(math.Abs(restarted.PartOf(2)-p.service.PartOf(2)) < 0.05)
	}
}

// TestCalmDays: nothing is refused on days with room, whatever the few requests or slow back ends.
func TestCalmDays(t *testing.T) {
	settings := DefaultSettings()
	level := func(begun float64) []fleetload.Level { return []fleetload.Level{{Priority: 2, Begun: begun}} }
	cases := map[string]fleetload.Zone{
		"nothing seen":                    {},
		"two slow answers a second":       {Load: 4, Answers: 2, Levels: level(200)},
		"far from the limit":              {Load: 0.3, Answers: 2000, Levels: level(120)},
		"work taken for three times more": {Load: 0.4, Answers: 2000, Levels: level(500)},
		"slow back ends, half used":       {Load: 1.2, Answers: 500, Levels: level(60)},
		"one answer in a hundred quick":   {Load: 0.4, Answers: 2000, Rejected: 20, Levels: level(120)},
	}
	for name, zone := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var service Service
			for second := range 20 {
				known := fleetload.Service{Zones: []fleetload.Zone{zone}}
				service.Learn(time.Duration(second+1)*time.Second, &known, slots, fresh, &settings)
				is.Equal(service.PartOf(2), 1.0)
			}
			var unknown Service
			unknown.Learn(time.Second, &fleetload.Service{Zones: []fleetload.Zone{{Load: 0.4, Answers: 2000, Levels: level(900)}}}, 0, fresh, &settings)
			is.Equal(unknown.PartOf(2), 1.0) // slots that are not known bound nothing
		})
	}
}

// TestWrongSums: a tenth of the news are wrong by a factor of up to 100 each way. What is let in in the
// mean stays near the right one, and it is the right one soon after.
func TestWrongSums(t *testing.T) {
	is := is.New(t)
	p := newPlant(1)
	p.demand = [2]float64{100, 240}
	p.pass(5*time.Second, func() {})
	p.tell = func(known *fleetload.Service) {
		if p.random.IntN(10) > 0 {
			return
		}
		factor := math.Exp(4.6 * (2*p.random.Float64() - 1))
		for zone := range known.Zones {
			known.Zones[zone].Load *= factor
			levels := append([]fleetload.Level(nil), known.Zones[zone].Levels...)
			for index := range levels {
				levels[index].Begun *= factor
				levels[index].Refused *= 2 - min(factor, 2)
			}
			known.Zones[zone].Levels = levels
		}
	}
	is.True(p.mean(20*time.Second, p.used) > 0.7)
	p.tell = func(*fleetload.Service) {}
	p.pass(3*time.Second, func() {})
	right := p.mean(2*time.Second, p.used)
	is.True(right > leastRight-0.05 && right < mostRight)
}

// TestWhateverIsTold: parts are numbers from 0 to 1 that fall with importance, whatever sums say.
func TestWhateverIsTold(t *testing.T) {
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
		for range rapid.IntRange(1, 20).Draw(t, "news") {
			now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "wait"))
			known := fleetload.Service{At: now, Zones: rapid.SliceOfN(zone, 0, 3).Draw(t, "zones")}
			part := rapid.Float64Range(-1, 2).Draw(t, "held")
			service.Learn(now, &known, amount.Draw(t, "slots"), func(uint16) float64 { return part }, &settings)
			if room := service.room; room < settings.Fewest || room > settings.Most {
				t.Fatalf("room %v", room)
			}
			above := 1.0
			for priority := range uint16(5) {
				admitted := service.PartOf(priority)
				if !(admitted >= 0 && admitted <= above) {
					t.Fatalf("parts %v", service.Parts())
				}
				above = admitted
			}
		}
	})
}
