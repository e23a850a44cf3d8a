package health

import (
	"context"
	"net/http"
	"sync"
	"time"

	"robinpulley.example/robinpulley/internal/message"
)

// tickInterval is how often the scheduler is asked what is due.
const tickInterval = 100 * time.Millisecond

// Options are what a Prober needs.
type Options struct {
	Settings Settings
	// Evidence gives what the data path has shown since its last call; nil
	// means that there is none. It is called by Report.
	Evidence func() []Evidence
	// Client does the requests; nil means one that follows no redirects and
	// uses no proxy.
	Client *http.Client
}

// Counters counts probes since the start.
type Counters struct {
	Begun  uint64
	Failed uint64
}

// Prober probes back ends. It is safe for concurrent use.
type Prober struct {
	options Options
	start   time.Time

	lock      sync.Mutex // guards what follows
	scheduler *Scheduler
	counters  Counters
}

// NewProber gives a prober without targets.
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

// now is the time since the start, on the monotonic clock.
func (prober *Prober) now() time.Duration { return time.Since(prober.start) }

// SetTargets replaces the back ends to be probed.
func (prober *Prober) SetTargets(targets []Target) {
	prober.lock.Lock()
	defer prober.lock.Unlock()
	prober.scheduler.SetTargets(prober.now(), targets)
}

// Report gives what is new since the last call, for the publishers.
func (prober *Prober) Report() []message.BackendLoad {
	var evidence []Evidence
	if prober.options.Evidence != nil {
		evidence = prober.options.Evidence()
	}
	prober.lock.Lock()
	defer prober.lock.Unlock()
	return prober.scheduler.Report(prober.now(), evidence)
}

// Counters gives the probes begun and failed.
func (prober *Prober) Counters() Counters {
	prober.lock.Lock()
	defer prober.lock.Unlock()
	return prober.counters
}

// Run probes until the context is done and all probes under way have ended.
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
