package tokennode

import (
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/follower"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/outlier"
	"robinpulley.example/robinpulley/internal/passivehealth"
)

// evidenceStep gives one event to the evidence and carries out its effects.
func (engine *engine) evidenceStep(event *outlier.Event) {
	engine.evidence.Step(engine.now(), event, &engine.evidenceEffects)
	for _, outgoing := range engine.evidenceEffects.Messages {
		engine.outbox = append(engine.outbox, follower.Outgoing{To: outgoing.To, Message: outgoing.Message})
	}
	engine.logEvidence()
	if !engine.evidenceEffects.Changed {
		return
	}
	avoided := make([]passivehealth.Identity, 0, len(engine.evidenceEffects.Ejected))
	for _, identity := range engine.evidenceEffects.Ejected {
		avoided = append(avoided, passivehealth.Identity(identity))
	}
	engine.core.Step(engine.now(), &core.Event{Ejected: avoided}, &engine.coreEffects)
}

// noteOutcomes tells the evidence what the core has seen of back ends.
func (engine *engine) noteOutcomes() {
	if len(engine.coreEffects.Outcomes) == 0 {
		return
	}
	engine.outcomes = engine.outcomes[:0]
	for _, outcome := range engine.coreEffects.Outcomes {
		engine.outcomes = append(engine.outcomes, outlier.Outcome{Identity: outlier.Identity(outcome.Identity), Bad: outcome.Bad})
	}
	engine.evidenceStep(&outlier.Event{Outcomes: engine.outcomes})
}

// giveServices tells a node that judges which back ends take new flows.
func (engine *engine) giveServices() {
	if !engine.judges || engine.table == nil {
		return
	}
	services := make(map[lb.ServiceName][]outlier.Identity)
	for name, service := range engine.table.Services() {
		for _, host := range service.Ready {
			services[name] = append(services[name], outlier.Identity(host.InstanceID))
		}
	}
	engine.evidenceStep(&outlier.Event{Services: services})
}

// logEvidence logs the back ends that the nodes together avoid, or no longer, with what decided it.
func (engine *engine) logEvidence() {
	for _, change := range engine.evidenceEffects.Changes {
		event := logging.EventBackendTrusted
		if change.Ejected {
			event = logging.EventBackendAvoided
		}
		engine.logger.Warn().
			Str(logging.FieldEvent, string(event)).
			Str(logging.FieldBackend, engine.backendText(uint64(change.Identity))).
			Str(logging.FieldService, string(change.Service)).
			Float64(logging.FieldBad, change.Bad).
			Float64(logging.FieldGood, change.Good).
			Float64(logging.FieldReporters, change.Reporters).
			Float64(logging.FieldOthers, change.Others).
			Send()
	}
}
