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

// Bounds of what one node says in a window, so that none outweighs the others.
const (
	// mostOwn is how many answers of a back end count, mostService how many of a service.
	mostOwn, mostService = 8, 64
	// leastLog and mostLog bound the logarithm of a time over the idle one: a third
	// to twenty times of it.
	leastLog, mostLog = -1, 3
	// maxKept bounds the back ends of which anything is kept.
	maxKept = 1 << 13
	// logScale: logarithms are sent in hundredths.
	logScale = 100
)

// tally sums up logarithms of times.
type tally struct{ count, logs float64 }

func (t *tally) add(log float64) { t.count++; t.logs += log }

// mean is the logarithm of the typical time; valid if count is above zero.
func (t *tally) mean() float64 { return t.logs / t.count }

// capped gives the tally with the weight of no more than most answers.
func (t *tally) capped(most float64) (count, logs int) {
	if t.count == 0 {
		return 0, 0
	}
	part := min(1, most/t.count)
	return int(math.Round(t.count * part)), int(math.Round(t.logs * part * logScale))
}

// fading is a tally that loses half of its weight in each half-life.
type fading struct {
	tally
	at time.Duration
}

func (f *fading) fade(now, halfLife time.Duration) {
	part := math.Exp2(-float64(now-f.at) / float64(halfLife))
	f.count *= part
	f.logs *= part
	f.at = now
}

// seen is what this node has seen of a back end.
type seen struct {
	service lb.ServiceName
	lately  fading
	window  tally         // since the last report
	counted time.Duration // when this node last counted as one that finds it slow
	marked  bool          // a request took far longer than those at the others, since the last report
}

// own is what this node has seen itself.
type own struct {
	settings Settings
	backends map[Identity]*seen
	services map[lb.ServiceName]*fading
}

func newOwn(settings Settings) own {
	return own{settings: settings, backends: make(map[Identity]*seen), services: make(map[lb.ServiceName]*fading)}
}

func (o *own) note(now time.Duration, answer *Answer) {
	known := o.backends[answer.Identity]
	if known == nil {
		if len(o.backends) >= maxKept {
			return
		}
		known = &seen{service: answer.Service, lately: fading{at: now}, counted: -o.settings.ReporterTime}
		o.backends[answer.Identity] = known
	}
	log := min(max(answer.Log, leastLog), mostLog)
	known.lately.fade(now, o.settings.HalfLife)
	known.lately.add(log)
	known.window.add(log)
	known.marked = known.marked || o.far(now, answer.Service, log)
	service := o.services[answer.Service]
	if service == nil {
		service = &fading{at: now}
		o.services[answer.Service] = service
	}
	service.fade(now, o.settings.HalfLife)
	service.add(log)
}

// far tells whether one request took far longer than those of its service do.
func (o *own) far(now time.Duration, name lb.ServiceName, log float64) bool {
	service := o.services[name]
	if service == nil {
		return false
	}
	service.fade(now, o.settings.HalfLife)
	return service.count >= o.settings.LeastOwn && log-service.mean() > o.settings.StandsFar
}

// report adds to a report what this node has to say, and begins a new window: the
// sums of back ends that stand out or are watched, and, of their services, the rest.
func (o *own) report(now time.Duration, watched func(Identity) bool, report *message.SpeedReport) {
	concerned := make(map[lb.ServiceName]*tally)
	sums := make(map[Identity]bool)
	for identity, known := range o.backends {
		slow := known.marked || o.standsOut(now, known)
		if !slow && !watched(identity) {
			continue
		}
		sums[identity] = true
		concerned[known.service] = &tally{}
		count, logs := known.window.capped(mostOwn)
		reporters := 0
		if slow && now-known.counted >= o.settings.ReporterTime {
			known.counted = now
			reporters = 1
		}
		if count > 0 {
			addBackend(report, message.BackendTimes{Identity: uint64(identity), Count: count, Logs: logs, Slow: reporters})
		}
	}
	for identity, known := range o.backends {
		if rest := concerned[known.service]; rest != nil && !sums[identity] {
			rest.count += known.window.count
			rest.logs += known.window.logs
		}
		known.window, known.marked = tally{}, false
		if now-known.lately.at > forgetTime {
			delete(o.backends, identity)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(concerned)) {
		if count, logs := concerned[service].capped(mostService); count > 0 {
			addService(report, message.ServiceTimes{Service: service, Count: count, Logs: logs})
		}
	}
	slices.SortFunc(report.Backends, func(a, b message.BackendTimes) int {
		return cmp.Or(cmp.Compare(b.Logs, a.Logs), cmp.Compare(a.Identity, b.Identity))
	})
}

// forgetTime is how long a back end is kept that nothing was seen of.
const forgetTime = 10 * time.Second

// standsOut tells whether a back end takes longer than the others of its service.
func (o *own) standsOut(now time.Duration, known *seen) bool {
	service := o.services[known.service]
	known.lately.fade(now, o.settings.HalfLife)
	service.fade(now, o.settings.HalfLife)
	if known.lately.count < o.settings.LeastOwn || service.count <= known.lately.count {
		return false
	}
	others := (service.logs - known.lately.logs) / (service.count - known.lately.count)
	return known.lately.mean()-others > o.settings.StandsOut
}

func addBackend(report *message.SpeedReport, entry message.BackendTimes) {
	for index := range report.Backends {
		if known := &report.Backends[index]; known.Identity == entry.Identity {
			known.Count += entry.Count
			known.Logs += entry.Logs
			known.Slow += entry.Slow
			return
		}
	}
	report.Backends = append(report.Backends, entry)
}

func addService(report *message.SpeedReport, entry message.ServiceTimes) {
	for index := range report.Services {
		if known := &report.Services[index]; known.Service == entry.Service {
			known.Count += entry.Count
			known.Logs += entry.Logs
			return
		}
	}
	report.Services = append(report.Services, entry)
}

// pending is what nodes below have reported since the last report.
type pending struct {
	backends map[uint64]message.BackendTimes
	services map[lb.ServiceName]message.ServiceTimes
}

func newPending() pending {
	return pending{backends: make(map[uint64]message.BackendTimes), services: make(map[lb.ServiceName]message.ServiceTimes)}
}

func (p *pending) add(report *message.SpeedReport) {
	for _, entry := range report.Backends {
		sum, found := p.backends[entry.Identity]
		if !found && len(p.backends) >= maxKept {
			continue
		}
		p.backends[entry.Identity] = message.BackendTimes{
			Identity: entry.Identity, Count: sum.Count + entry.Count, Logs: sum.Logs + entry.Logs, Slow: sum.Slow + entry.Slow,
		}
	}
	for _, entry := range report.Services {
		sum, found := p.services[entry.Service]
		if !found && len(p.services) >= maxKept {
			continue
		}
		p.services[entry.Service] = message.ServiceTimes{
			Service: entry.Service, Count: sum.Count + entry.Count, Logs: sum.Logs + entry.Logs,
		}
	}
}

// take gives what is to be reported now, the slowest back ends first.
func (p *pending) take(most int) *message.SpeedReport {
	report := &message.SpeedReport{}
	report.Backends = slices.SortedFunc(maps.Values(p.backends), func(a, b message.BackendTimes) int {
		return cmp.Or(cmp.Compare(b.Logs, a.Logs), cmp.Compare(a.Identity, b.Identity))
	})
	report.Backends = report.Backends[:min(len(report.Backends), most)]
	report.Services = slices.SortedFunc(maps.Values(p.services), func(a, b message.ServiceTimes) int {
		return cmp.Compare(a.Service, b.Service)
	})
	clear(p.backends)
	clear(p.services)
	return report
}
