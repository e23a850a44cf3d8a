package tokennode

import (
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/follower"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/outlier"
	"robinpulley.example/robinpulley/internal/passivehealth"
)

// outlierStep steps outlier detection with an event and executes its effects.
func (engine *engine) outlierStep(event *outlier.Event) {
	engine.outliers.Step(engine.now(), event, &engine.outlierEffects)
	for _, outgoing := range engine.outlierEffects.Messages {
		engine.outbox = append(engine.outbox, follower.Outgoing{To: outgoing.To, Message: outgoing.Message})
	}
	engine.logEjections()
	if !engine.outlierEffects.EjectedChanged {
		return
	}
	ejected := make([]passivehealth.Identity, 0, len(engine.outlierEffects.Ejected))
	for _, identity := range engine.outlierEffects.Ejected {
		ejected = append(ejected, passivehealth.Identity(identity))
	}
	engine.core.Step(engine.now(), &core.Event{Ejected: ejected}, &engine.coreEffects)
}

// forwardOutcomes passes the request outcomes that the core has observed on to outlier detection.
func (engine *engine) forwardOutcomes() {
	if len(engine.coreEffects.Outcomes) == 0 {
		return
	}
	engine.outcomes = engine.outcomes[:0]
	for _, outcome := range engine.coreEffects.Outcomes {
		engine.outcomes = append(engine.outcomes, outlier.Outcome{Identity: outlier.Identity(outcome.Identity), Bad: outcome.Bad})
	}
	engine.outlierStep(&outlier.Event{Outcomes: engine.outcomes})
}

// updateOutlierServices passes the ready back ends of each service to outlier detection, if this
// node evaluates the outcome reports of its zone.
func (engine *engine) updateOutlierServices() {
	if !engine.evaluatesOutliers || engine.table == nil {
		return
	}
	services := make(map[lb.ServiceName][]outlier.Identity)
	for name, service := range engine.table.Services() {
		for _, host := range service.Ready {
			services[name] = append(services[name], outlier.Identity(host.InstanceID))
		}
	}
	engine.outlierStep(&outlier.Event{Services: services})
}

// logEjections logs the back ends that outlier detection has ejected or restored, with the inputs
// of each decision.
func (engine *engine) logEjections() {
	for _, change := range engine.outlierEffects.Changes {
		event := logging.EventBackendRestored
		if change.Ejected {
			event = logging.EventBackendEjected
		}
		engine.logger.Warn().
			Str(logging.FieldEvent, string(event)).
			Str(logging.FieldBackend, engine.backendText(uint64(change.Identity))).
			Str(logging.FieldService, string(change.Service)).
			Float64(logging.FieldBad, change.Bad).
			Float64(logging.FieldGood, change.Good).
			Float64(logging.FieldReporters, change.Reporters).
			Float64(logging.FieldBaseline, change.Baseline).
			Send()
	}
}
