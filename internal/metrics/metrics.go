// Package metrics describes the metrics of a balancer and emits their samples. The components of
// the balancer keep counters, which are read whenever metrics are collected.
package metrics

import "github.com/prometheus/client_golang/prometheus"

// Prefix begins the name of every metric.
const Prefix = "robinpulley_"

// Metric is the description and type of one metric.
type Metric struct {
	Name        string
	Description *prometheus.Desc
	kind        prometheus.ValueType
}

// New returns a metric whose name is Prefix followed by name.
func New(kind prometheus.ValueType, name, help string, labels ...string) *Metric {
	full := Prefix + name
	return &Metric{Name: full, Description: prometheus.NewDesc(full, help, labels, nil), kind: kind}
}

// Describe sends the descriptions of the metrics to the channel, as prometheus.Collector requires.
func Describe(metrics []*Metric, descriptions chan<- *prometheus.Desc) {
	for _, metric := range metrics {
		descriptions <- metric.Description
	}
}

// Sampler sends samples of metrics to a channel.
type Sampler struct{ Samples chan<- prometheus.Metric }

// Add sends a sample with the given value and label values.
func (sampler Sampler) Add(metric *Metric, value float64, labels ...string) {
	sampler.Samples <- prometheus.MustNewConstMetric(metric.Description, metric.kind, value, labels...)
}

// Count sends a sample with the value of a counter.
func (sampler Sampler) Count(metric *Metric, value uint64, labels ...string) {
	sampler.Add(metric, float64(value), labels...)
}
