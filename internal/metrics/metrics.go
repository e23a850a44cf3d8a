// Package metrics describes metrics of a balancer and writes their samples. The
// balancer's parts keep counters; they are read when metrics are asked for.
package metrics

import "github.com/prometheus/client_golang/prometheus"

// Prefix begins the name of every metric.
const Prefix = "robinpulley_"

// Metric is one metric: its description and type.
type Metric struct {
	Name        string
	Description *prometheus.Desc
	kind        prometheus.ValueType
}

// New describes a metric; its name is given without the prefix.
func New(kind prometheus.ValueType, name, help string, labels ...string) *Metric {
	full := Prefix + name
	return &Metric{Name: full, Description: prometheus.NewDesc(full, help, labels, nil), kind: kind}
}

// Describe gives the descriptions of metrics, as a collector does.
func Describe(metrics []*Metric, descriptions chan<- *prometheus.Desc) {
	for _, metric := range metrics {
		descriptions <- metric.Description
	}
}

// Sampler writes samples of metrics.
type Sampler struct{ Samples chan<- prometheus.Metric }

// Add writes a value.
func (sampler Sampler) Add(metric *Metric, value float64, labels ...string) {
	sampler.Samples <- prometheus.MustNewConstMetric(metric.Description, metric.kind, value, labels...)
}

// Count writes a counter.
func (sampler Sampler) Count(metric *Metric, value uint64, labels ...string) {
	sampler.Add(metric, float64(value), labels...)
}
