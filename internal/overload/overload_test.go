package overload

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"robinpulley.example/robinpulley/internal/lb"
)

// TestMedianOfLoads checks that a few back ends, or a few measurements, do not determine the load
// of a service.
func TestMedianOfLoads(t *testing.T) {
	cases := []struct {
		name  string
		loads []weighted
		want  float64
	}{
		{"no measurements", nil, neutralLoad},
		{"one measurement", []weighted{{2, 1}}, neutralLoad},
		{"all overloaded", []weighted{{2, 20}, {1.5, 20}, {1.8, 20}}, 1.8},
		{"one unresponsive", []weighted{{3, 20}, {0.4, 20}, {0.4, 20}}, 0.4},
		{"all idle", []weighted{{0.3, 20}, {0.35, 20}, {0.4, 20}}, 0.35},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			load, weight := median(test.loads)
			is.Equal(load, test.want)
			sum := 0.0
			for _, l := range test.loads {
				sum += l.weight
			}
			is.Equal(weight, sum)
		})
	}
}

// TestIdleTimeEstimate checks that the estimate falls soon, rises over minutes, is not lowered by
// rejections of full back ends, and restarts where all requests have become fast.
func TestIdleTimeEstimate(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	idle := idleTime{}
	now := time.Duration(0)
	addAnswers := func(seconds float64, samples int) {
		for range samples {
			now += 10 * ms
			idle.add(now, seconds, &settings)
		}
	}
	addAnswers(0.2, 100)
	is.True(math.Abs(idle.value-0.2) < 0.001)
	addAnswers(0.05, 1000)
	is.True(math.Abs(idle.value-0.05) < 0.002)
	addAnswers(0.2, 1000) // ten seconds of overload
	is.True(idle.value < 0.07)
	addAnswers(0.2, 60_000) // ten minutes
	is.True(idle.value > 0.15)
	for range 1000 {
		addAnswers(0.001, 2)
		addAnswers(0.2, 1)
	}
	is.True(idle.value > 0.15)
	addAnswers(0.002, 500)
	is.True(math.Abs(idle.value-0.002) < 0.0001)
}

// TestDisabledControllerAdmitsEverything checks that overload control can be switched off.
func TestDisabledControllerAdmitsEverything(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	settings.Off = true
	h := newHistory(1, settings)
	h.advance(web, 5*time.Second, h.overloaded)
	is.Equal(h.admissionRate(web, ordinary), 1.0)
	is.True(!h.BackendOverloaded(h.now, 1))
}

// TestChangesReportBeginningAndEnd checks that each of the two is reported exactly once per
// overload.
func TestChangesReportBeginningAndEnd(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, DefaultSettings())
	h.advance(web, 2*time.Second, h.calm)
	is.Equal(len(h.Changes()), 0)
	h.advance(web, 5*time.Second, h.overloaded)
	began := append([]Change(nil), h.Changes()...)
	is.Equal(len(began), 1)
	is.True(began[0].Overloaded && began[0].Service == web && began[0].Priority == ordinary.Priority)
	is.True(began[0].Pressure > 0.85 && began[0].AdmissionRate < overloadedRate)
	h.advance(web, 8*time.Second, h.calm)
	ended := h.Changes()
	is.Equal(len(ended), 1)
	is.True(!ended[0].Overloaded && ended[0].Refused > 0)
	is.Equal(h.Status(h.now)[0].Levels, []Level{{1, 1}, {2, 1}})
}

// TestForgetDeletesUnusedState checks that the state of removed back ends and services, and of
// priorities and objectives no longer in use, does not accumulate.
func TestForgetDeletesUnusedState(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, DefaultSettings())
	h.advance(web, time.Second, h.calm)
	h.advance(docs, time.Second, h.calm)
	keep := func(identity Identity) bool { return identity == 1 }
	serves := func(name lb.ServiceName) bool { return name == web }
	h.Forget(h.now, keep, serves)
	is.Equal(len(h.backends), 1)
	is.Equal(len(h.services), 1)
	is.Equal(len(h.services[web].classes), 2)
	h.now += time.Minute // long enough for the back end's measurements to decay
	h.Tick(h.now)
	is.Equal(len(h.backends), 0)
	h.Forget(h.now+stateTimeout, keep, serves)
	is.Equal(len(h.services[web].classes)+len(h.services[web].levels), 0)
}

// BenchmarkScan scans 4,800 back ends, the largest fleet that the design must support.
func BenchmarkScan(b *testing.B) {
	c := New(DefaultSettings())
	for i := range 4800 {
		name := lb.ServiceName(fmt.Sprintf("service-%d", i%275))
		for range 8 {
			c.RecordAnswer(0, name, ordinary, "za", Identity(i), idleWork)
		}
	}
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond // too little for measurements to decay
		for _, s := range c.services {
			s.scanned = 0
			c.scan(now, s)
		}
	}
}

// TestLimitsStayBounded checks that, for any measurements in any order, the admission rate is a
// number from MinAdmissionRate to 1, and does not fall with importance.
func TestLimitsStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		c := New(settings)
		now := time.Duration(0)
		objectives := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) lb.Objective {
			return lb.Objective{
				Priority:     rapid.Uint16Range(0, 3).Draw(t, "priority"),
				TargetMillis: rapid.SampledFrom([]uint32{0, 1, 200, lb.MaxTargetMillis}).Draw(t, "target"),
			}
		}), 1, 4).Draw(t, "objectives")
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "wait"))
			objective := rapid.SampledFrom(objectives).Draw(t, "objective")
			identity := Identity(rapid.IntRange(1, 4).Draw(t, "identity"))
			minRate := settings.MinAdmissionRate
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				latency := rapid.SampledFrom([]time.Duration{0, 1, ms, 40 * ms, time.Second, time.Hour}).Draw(t, "latency")
				c.RecordAnswer(now, web, objective, "za", identity, latency)
			case 1:
				c.Admit(now, web, objective, identity, rapid.Uint64().Draw(t, "draw"))
			case 2:
				c.Tick(now)
			case 3:
				report := overloadedState(now)
				report.Zones[0].Levels[0].Begun = rapid.Float64Range(0, 300).Draw(t, "begun")
				c.ApplyFleetLoad(now, web, report, rapid.Float64Range(0, 200).Draw(t, "slots"))
			}
			if s := c.services[web]; s != nil && s.fleetRatesFresh(now, &settings) {
				minRate = 0 // MinAdmissionRate does not apply while the fleet reports answers
			}
			for _, status := range c.Status(now) {
				if math.IsNaN(status.Pressure) || status.Pressure < 0 || status.Pressure > maxLoad {
					t.Fatalf("pressure %v", status.Pressure)
				}
				above := 1.0
				for _, level := range status.Levels {
					if !(level.AdmissionRate >= minRate && level.AdmissionRate <= above+1e-9) {
						t.Fatalf("levels %v", status.Levels)
					}
					above = level.AdmissionRate
				}
			}
		}
	})
}

// FuzzController checks that no order of answers, openings and ticks makes the controller panic or
// return a load out of bounds.
func FuzzController(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 250, 128, 7})
	f.Fuzz(func(t *testing.T, steps []byte) {
		c := New(DefaultSettings())
		now := time.Duration(0)
		for i, step := range steps {
			now += time.Duration(step) * ms
			objective := lb.Objective{Priority: uint16(step & 3), TargetMillis: uint32(step) << 2}
			identity := Identity(step >> 5)
			c.RecordAnswer(now, web, objective, "za", identity, time.Duration(i)*time.Duration(step)*ms)
			c.Admit(now, web, objective, identity, uint64(step)<<56)
			c.Tick(now)
			if load, known := c.Load(now, identity); known && !(load >= 0 && load <= maxLoad) {
				t.Fatalf("load %v", load)
			}
		}
	})
}

// BenchmarkAdmit decides on single openings while a service is overloaded.
func BenchmarkAdmit(b *testing.B) {
	h := newHistory(1, DefaultSettings())
	h.advance(web, 5*time.Second, h.overloaded)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.Admit(h.now+time.Duration(i)*time.Microsecond, web, ordinary, Identity(1+i%backends), uint64(i)<<40)
	}
}
