package experiment

import (
	"encoding/json"
	"io"
	"runtime"
	"sync"

	"github.com/cockroachdb/errors"
)

// Batch runs a scenario with several seeds on each of several kinds of balancers.
type Batch struct {
	Scenario  *Scenario
	Factories []Factory
	// Parallel is the number of concurrent runs; zero means half of the processors.
	Parallel int
	// Progress is called after each run with the number of finished runs and of all runs. It may be
	// nil.
	Progress func(done, total int)
}

// job is one run of a batch.
type job struct {
	factory Factory
	seed    uint64
	index   int // position of its result
}

// Run executes all runs of the batch. Results are ordered by factory, then by seed, regardless of
// the order in which the runs finish.
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
				results[job.index], failures[job.index] = Run(batch.Scenario, job.factory, job.seed)
				lock.Lock()
				done++
				batch.reportProgress(done, len(jobs))
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

// jobs returns the runs of the batch, in the order of their results.
func (batch *Batch) jobs() []job {
	var jobs []job
	for _, factory := range batch.Factories {
		for i := range batch.Scenario.Runs {
			jobs = append(jobs, job{factory: factory, seed: batch.Scenario.Seed + uint64(i)*seedStride, index: len(jobs)})
		}
	}
	return jobs
}

// seedStride is the difference between the seeds of two consecutive runs. Each run derives several
// random sources from consecutive seeds, and two runs must not share a source.
const seedStride = 16

// workers returns the number of concurrent runs.
func (batch *Batch) workers() int {
	if batch.Parallel > 0 {
		return batch.Parallel
	}
	return max(1, runtime.NumCPU()/2)
}

func (batch *Batch) reportProgress(done, total int) {
	if batch.Progress != nil {
		batch.Progress(done, total)
	}
}

// WriteResults writes the results as JSON, one result per line.
func WriteResults(writer io.Writer, results []*Result) error {
	encoder := json.NewEncoder(writer)
	for _, result := range results {
		if err := encoder.Encode(result); err != nil {
			return errors.Wrap(err, "encode result")
		}
	}
	return nil
}

// ReadResults reads results that WriteResults wrote. Unknown fields are errors.
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
			return nil, errors.Wrapf(err, "decode result %d", len(results)+1)
		}
		results = append(results, &result)
	}
}
