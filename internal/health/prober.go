package health

import (
	"context"
	"net/http"
	"sync"
	"time"

	"robinpulley.example/robinpulley/internal/message"
)

// tickInterval is the time between two checks for due probes.
const tickInterval = 100 * time.Millisecond

// Options configure a Prober.
type Options struct {
	Settings Settings
	// OpeningCounts returns the counts of openings that the data path has collected since the last
	// call. Report calls it. It may be nil.
	OpeningCounts func() []OpeningCounts
	// Client sends the probes; nil selects a client that follows no redirects and uses no proxy.
	Client *http.Client
}

// Counters counts the probes since the start.
type Counters struct {
	Begun  uint64
	Failed uint64
}

// Prober probes back ends. It is safe for concurrent use.
type Prober struct {
	options Options
	start   time.Time

	lock      sync.Mutex // guards the fields below
	scheduler *Scheduler
	counters  Counters
}

// NewProber returns a prober without targets.
func NewProber(options Options) (*Prober, error) {
	if err := options.Settings.Validate(); err != nil {
		return nil, err
	}
	if options.Client == nil {
		options.Client = newClient(&options.Settings)
	}
	return &Prober{
		options:   options,
		start:     time.Now(),
		scheduler: NewScheduler(options.Settings),
	}, nil
}

// now returns the time since the start, by the monotonic clock.
func (prober *Prober) now() time.Duration { return time.Since(prober.start) }

// SetTargets replaces the back ends to probe.
func (prober *Prober) SetTargets(targets []Target) {
	prober.lock.Lock()
	defer prober.lock.Unlock()
	prober.scheduler.SetTargets(prober.now(), targets)
}

// Report returns the reports that became available since the last call, for publication.
func (prober *Prober) Report() []message.BackendLoad {
	var openingCounts []OpeningCounts
	if prober.options.OpeningCounts != nil {
		openingCounts = prober.options.OpeningCounts()
	}
	prober.lock.Lock()
	defer prober.lock.Unlock()
	return prober.scheduler.Report(prober.now(), openingCounts)
}

// Counters returns the numbers of probes begun and failed.
func (prober *Prober) Counters() Counters {
	prober.lock.Lock()
	defer prober.lock.Unlock()
	return prober.counters
}

// Run probes until the context is done and all probes in flight have ended.
func (prober *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		for _, target := range prober.due() {
			probes.Go(func() { prober.probe(ctx, target) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (prober *Prober) due() []Target {
	prober.lock.Lock()
	defer prober.lock.Unlock()
	due := prober.scheduler.Due(prober.now())
	prober.counters.Begun += uint64(len(due))
	return due
}

func (prober *Prober) probe(ctx context.Context, target Target) {
	begun := prober.now()
	limited, cancel := context.WithTimeout(ctx, prober.options.Settings.Timeout)
	defer cancel()
	answer, err := probe(limited, prober.options.Client, target.URL)
	prober.lock.Lock()
	defer prober.lock.Unlock()
	if err != nil {
		prober.counters.Failed++
	}
	prober.scheduler.Done(begun, target, answer, err)
}
