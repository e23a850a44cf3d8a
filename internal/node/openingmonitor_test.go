package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/health"
	"robinpulley.example/robinpulley/internal/lb"
)

func TestOpeningMonitorCountsUnansweredOpenings(t *testing.T) {
	is := is.New(t)
	monitor := newOpeningMonitor()
	placement := &lb.Placement{Backends: []lb.PlacedBackend{{ID: 1, Name: "good"}, {ID: 2, Name: "silent"}}}
	record := func(at time.Duration, port uint16, backend lb.BackendID, action core.Action) {
		packet := core.Packet{Key: lb.FlowKey{SourcePort: port}, Kind: core.PacketOpening}
		monitor.recordDecision(at, &packet, &core.Decision{Action: action, Service: "wallet", Backend: backend})
	}
	record(0, 1, 1, core.ActionForward)
	record(time.Millisecond, 1, 1, core.ActionForward) // a duplicate, not a retransmission
	record(0, 2, 2, core.ActionForward)
	record(time.Second, 2, 2, core.ActionForward) // a retransmission
	record(0, 3, 2, core.ActionRefuse)            // never reached the back end
	record(time.Second, 4, 1, core.ActionForward) // still monitored
	monitor.countExpired(answerWindow)
	is.True(monitor.hasUnanswered())
	counts := monitor.collect(func(lb.ServiceName) *lb.Placement { return placement })
	is.Equal(counts, []health.OpeningCounts{
		{Backend: "good", Openings: 1},
		{Backend: "silent", Openings: 1, Unanswered: 1},
	})
	monitor.countExpired(answerWindow + time.Second)
	is.True(!monitor.hasUnanswered())
	counts = monitor.collect(func(lb.ServiceName) *lb.Placement { return placement })
	is.Equal(counts, []health.OpeningCounts{{Backend: "good", Openings: 1}})
}

func TestOpeningMonitorIsBounded(t *testing.T) {
	is := is.New(t)
	monitor := newOpeningMonitor()
	for sequence := range uint32(2 * maxMonitoredOpenings) {
		packet := core.Packet{Kind: core.PacketOpening, OpeningID: sequence}
		monitor.recordDecision(0, &packet, &core.Decision{Action: core.ActionForward})
	}
	is.Equal(len(monitor.byAge), maxMonitoredOpenings)
	is.Equal(len(monitor.monitored), maxMonitoredOpenings)
}
