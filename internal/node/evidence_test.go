package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/health"
	"robinpulley.example/robinpulley/internal/lb"
)

func TestEvidence(t *testing.T) {
	is := is.New(t)
	evidence := newEvidence()
	placement := &lb.Placement{Backends: []lb.PlacedBackend{{ID: 1, Name: "good"}, {ID: 2, Name: "silent"}}}
	note := func(at time.Duration, port uint16, backend lb.BackendID, action core.Action) {
		packet := core.Packet{Key: lb.FlowKey{SourcePort: port}, Kind: core.PacketOpening}
		evidence.note(at, &packet, &core.Decision{Action: action, Service: "wallet", Backend: backend})
	}
	note(0, 1, 1, core.ActionForward)
	note(time.Millisecond, 1, 1, core.ActionForward) // a duplicate, not a repetition
	note(0, 2, 2, core.ActionForward)
	note(time.Second, 2, 2, core.ActionForward) // a repetition
	note(0, 3, 2, core.ActionRefuse)            // never reached the back end
	note(time.Second, 4, 1, core.ActionForward) // still watched
	evidence.judge(evidenceWindow)
	is.True(evidence.hasUnanswered())
	taken := evidence.take(func(lb.ServiceName) *lb.Placement { return placement })
	is.Equal(taken, []health.Evidence{
		{Backend: "good", Openings: 1},
		{Backend: "silent", Openings: 1, Unanswered: 1},
	})
	evidence.judge(evidenceWindow + time.Second)
	is.True(!evidence.hasUnanswered())
	taken = evidence.take(func(lb.ServiceName) *lb.Placement { return placement })
	is.Equal(taken, []health.Evidence{{Backend: "good", Openings: 1}})
}

func TestEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	evidence := newEvidence()
	for sequence := range uint32(2 * evidenceOpenings) {
		packet := core.Packet{Kind: core.PacketOpening, OpeningID: sequence}
		evidence.note(0, &packet, &core.Decision{Action: core.ActionForward})
	}
	is.Equal(len(evidence.order), evidenceOpenings)
	is.Equal(len(evidence.watched), evidenceOpenings)
}
