package tokennode

import (
	"math/bits"
	"time"
)

// durationHistogram is a histogram of durations with one bucket for each power of two of
// microseconds. It uses an array instead of a map because every packet updates it.
type durationHistogram struct {
	count  uint64
	sum    time.Duration
	counts [histogramBuckets]uint64
}

// histogramBuckets is the number of buckets. The last one counts durations above about 4 s.
const histogramBuckets = 24

// observe adds one duration.
func (histogram *durationHistogram) observe(duration time.Duration) {
	histogram.count++
	histogram.sum += duration
	bucket := bits.Len64(uint64(max(duration, 0) / time.Microsecond))
	histogram.counts[min(bucket, histogramBuckets-1)]++
}

// buckets returns the cumulative counts by upper bound in seconds, in the form that Prometheus
// uses.
func (histogram *durationHistogram) buckets() map[float64]uint64 {
	cumulative := make(map[float64]uint64, histogramBuckets)
	sum := uint64(0)
	for bucket, count := range histogram.counts[:histogramBuckets-1] {
		sum += count
		bound := time.Duration(uint64(1)<<bucket) * time.Microsecond
		cumulative[bound.Seconds()] = sum
	}
	return cumulative
}
