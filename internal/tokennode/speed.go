package tokennode

import (
	"strconv"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/follower"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/speed"
)

// speedStep gives one event to what is known of speeds and carries out its effects.
func (engine *engine) speedStep(event *speed.Event) {
	engine.speed.Step(engine.now(), event, &engine.speedEffects)
	for _, outgoing := range engine.speedEffects.Messages {
		engine.outbox = append(engine.outbox, follower.Outgoing{To: outgoing.To, Message: outgoing.Message})
	}
	engine.logSpeeds()
	if !engine.speedEffects.Changed {
		return
	}
	factors := append(make([]speed.Factor, 0, len(engine.speedEffects.Factors)), engine.speedEffects.Factors...)
	engine.core.Step(engine.now(), &core.Event{Speeds: factors}, &engine.coreEffects)
}

// noteAnswers tells what the core has seen of the times that requests take.
func (engine *engine) noteAnswers() {
	if len(engine.coreEffects.Answers) > 0 {
		engine.speedStep(&speed.Event{Answers: engine.coreEffects.Answers})
	}
}

// giveSpeedServices tells a node that judges which back ends take new flows.
func (engine *engine) giveSpeedServices() {
	services := make(map[lb.ServiceName][]speed.Identity)
	for name, service := range engine.table.Services() {
		for _, host := range service.Ready {
			services[name] = append(services[name], speed.Identity(host.Identity))
		}
	}
	engine.speedStep(&speed.Event{Services: services})
}

// logSpeeds logs the back ends that the nodes together take for slow, or no longer, with what decided it.
func (engine *engine) logSpeeds() {
	for index := range engine.speedEffects.Changes {
		change := &engine.speedEffects.Changes[index]
		event := logging.EventBackendEven
		if change.Slow {
			event = logging.EventBackendSlow
		}
		engine.logger.Warn().
			Str(logging.FieldEvent, string(event)).
			Str(logging.FieldBackend, strconv.FormatUint(uint64(change.Identity), 16)).
			Str(logging.FieldService, string(change.Service)).
			Float64(logging.FieldFactor, change.Factor).
			Float64(logging.FieldRatio, change.Ratio).
			Float64(logging.FieldAnswers, change.Answers).
			Float64(logging.FieldReporters, change.Reporters).
			Int64(logging.FieldHeardAge, change.Age.Milliseconds()).
			Int(logging.FieldOmitted, engine.speedEffects.Omitted).
			Send()
	}
}
