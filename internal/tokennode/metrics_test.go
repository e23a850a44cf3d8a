package tokennode

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/metrics"
)

// TestOperationsPageIsComplete checks that the operations page names every metric that exists, and
// no other metric.
func TestOperationsPageIsComplete(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../docs/operations-platform.md")
	is.NoErr(err)
	page := string(text)
	known := map[string]bool{}
	for _, metric := range allMetrics {
		known[metric.Name] = true
		if !strings.Contains(page, "`"+metric.Name+"`") {
			t.Errorf("the operations page lacks the metric %s", metric.Name)
		}
	}
	for _, word := range strings.Split(page, "`") {
		name, _, _ := strings.Cut(word, "{") // labels may follow
		if strings.HasPrefix(name, metrics.Prefix) && !known[name] {
			t.Errorf("the operations page has the metric %s, which does not exist", name)
		}
	}
}

func TestDurationHistogram(t *testing.T) {
	is := is.New(t)
	var histogram durationHistogram
	for _, duration := range []time.Duration{0, 500 * time.Nanosecond, 3 * time.Microsecond, time.Hour, -time.Second} {
		histogram.observe(duration)
	}
	buckets := histogram.buckets()
	is.Equal(histogram.count, uint64(5))
	is.Equal(buckets[1e-6], uint64(3)) // below a microsecond, including the negative one
	is.Equal(buckets[4e-6], uint64(4))
}
