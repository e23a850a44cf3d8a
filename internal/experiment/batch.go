package experiment

import (
	"encoding/json"
	"io"
	"runtime"
	"sync"

	"github.com/cockroachdb/errors"
)

// Batch is a scenario run with many seeds on several kinds of balancers.
type Batch struct {
	Scenario  *Scenario
	Factories []Factory
	// Parallel is the number of runs at once; zero takes half of the processors.
	Parallel int
	// Progress is told after each run how many are done of how many; nil is allowed.
	Progress func(done, total int)
}

// job is one run of a batch.
type job struct {
	factory Factory
	seed    uint64
	place   int
}

// Run runs the batch. Results come in the order of factories, then seeds,
// whatever the order in which the runs end.
func (batch *Batch) Run() ([]*Result, error) {
	jobs := batch.jobs()
	results := make([]*Result, len(jobs))
	failures := make([]error, len(jobs))
	queue := make(chan job)
	var group sync.WaitGroup
	var lock sync.Mutex
	done := 0
	for range batch.workers() {
		group.Go(func() {
			for job := range queue {
				results[job.place], failures[job.place] = Run(batch.Scenario, job.factory, job.seed)
				lock.Lock()
				done++
				batch.report(done, len(jobs))
				lock.Unlock()
			}
		})
	}
	for _, job := range jobs {
		queue <- job
	}
	close(queue)
	group.Wait()
	return results, errors.Join(failures...)
}

func (batch *Batch) jobs() []job {
	var jobs []job
	for _, factory := range batch.Factories {
		for i := range batch.Scenario.Runs {
			jobs = append(jobs, job{factory: factory, seed: batch.Scenario.Seed + uint64(i)*seedStep, place: len(jobs)})
		}
	}
	return jobs
}

// seedStep keeps the random sources of two runs apart: a run uses a few seeds in a row.
const seedStep = 16

func (batch *Batch) workers() int {
	if batch.Parallel > 0 {
		return batch.Parallel
	}
	return max(1, runtime.NumCPU()/2)
}

func (batch *Batch) report(done, total int) {
	if batch.Progress != nil {
		batch.Progress(done, total)
	}
}

// WriteResults writes results as JSON lines.
func WriteResults(writer io.Writer, results []*Result) error {
	encoder := json.NewEncoder(writer)
	for _, result := range results {
		if err := encoder.Encode(result); err != nil {
			return errors.Wrap(err, "results")
		}
	}
	return nil
}

// ReadResults reads results written by WriteResults.
func ReadResults(reader io.Reader) ([]*Result, error) {
	decoder := json.NewDecoder(reader)
	decoder.DisallowUnknownFields()
	var results []*Result
	for {
		var result Result
		err := decoder.Decode(&result)
		if errors.Is(err, io.EOF) {
			return results, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "result %d", len(results)+1)
		}
		results = append(results, &result)
	}
}
