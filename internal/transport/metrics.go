package transport

import (
	"github.com/prometheus/client_golang/prometheus"

	"robinpulley.example/robinpulley/internal/metrics"
)

var (
	metricBytes = metrics.New(prometheus.CounterValue, "control_bytes_total",
		"Bytes of control messages, by type and direction (sent, received).", "type", "direction")
	metricMessages = metrics.New(prometheus.CounterValue, "control_messages_total",
		"Control messages, by type and direction (sent, received).", "type", "direction")
	metricFaults = metrics.New(prometheus.CounterValue, "control_faults_total",
		"Control messages not sent or not taken, by fault.", "fault")
)

// Metrics returns the metrics of control messages.
func Metrics() []*metrics.Metric { return []*metrics.Metric{metricBytes, metricMessages, metricFaults} }

// Sample writes the counters as samples of Metrics.
func (c *Counters) Sample(output metrics.Sampler) {
	for _, traffic := range c.Traffic {
		output.Count(metricBytes, traffic.Bytes, string(traffic.Type), string(traffic.Direction))
		output.Count(metricMessages, traffic.Messages, string(traffic.Type), string(traffic.Direction))
	}
	for _, fault := range c.Faults {
		output.Count(metricFaults, fault.Count, string(fault.Fault))
	}
}
