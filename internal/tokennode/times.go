package tokennode

import (
	"math/bits"
	"time"
)

// times is a histogram of durations with one bucket for each power of two of
// microseconds. It is an array, since it is counted on every packet.
type times struct {
	count  uint64
	sum    time.Duration
	counts [timeBuckets]uint64
}

// timeBuckets covers up to about 8 s.
const timeBuckets = 24

// add counts one duration.
func (times *times) add(took time.Duration) {
	times.count++
	times.sum += took
	bucket := bits.Len64(uint64(max(took, 0) / time.Microsecond))
	times.counts[min(bucket, timeBuckets-1)]++
}

// buckets gives the cumulative counts by upper bound in seconds.
func (times *times) buckets() map[float64]uint64 {
	cumulative := make(map[float64]uint64, timeBuckets)
	sum := uint64(0)
	for bucket, count := range times.counts[:timeBuckets-1] {
		sum += count
		bound := time.Duration(uint64(1)<<bucket) * time.Microsecond
		cumulative[bound.Seconds()] = sum
	}
	return cumulative
}
