package node

import (
	"slices"

	"robinpulley.example/robinpulley/internal/controller"
	"robinpulley.example/robinpulley/internal/gossip"
	"robinpulley.example/robinpulley/internal/logging"
)

// controllerStep gives one event to the publisher and passes on its effects.
func (engine *engine) controllerStep(event *controller.Event) {
	engine.controller.Step(engine.now(), event, &engine.controllerEffects)
	effects := &engine.controllerEffects
	for index := range effects.Writes {
		write := effects.Writes[index]
		engine.work.add(storeWork{write: &write})
	}
	for _, service := range effects.Reads {
		engine.work.add(storeWork{read: service})
	}
	if effects.Status != nil {
		engine.work.add(storeWork{status: effects.Status})
	}
	for _, problem := range effects.Problems {
		engine.logger.Warn().Err(problem.Cause).
			Str(logging.FieldEvent, string(logging.EventDocumentRejected)).
			Str(logging.FieldKey, problem.Key).
			Send()
	}
	if effects.Epoch != "" {
		engine.work.add(storeWork{epoch: effects.Epoch})
	}
	if len(effects.Placements) > 0 {
		engine.gossipStep(&gossip.Event{Placements: slices.Clone(effects.Placements)})
	}
	if published := engine.controller.PublishedRevision(); published > engine.published {
		engine.published = published
		engine.gossipStep(&gossip.Event{ConfigRevision: published})
	}
}

// documents takes what the watch of the store gave.
func (engine *engine) documents(documents *controller.Documents) {
	engine.input(func() {
		engine.listed = engine.listed || documents.Complete
		engine.controllerStep(&controller.Event{Documents: documents})
	})
}

// publisherInput gives one event to the publisher.
func (engine *engine) publisherInput(event *controller.Event) {
	engine.input(func() { engine.controllerStep(event) })
}

// noteStore tells the publisher when the store goes or comes back.
func (engine *engine) noteStore(up bool) {
	if engine.storeUp == up {
		return
	}
	engine.storeUp = up
	change, event := controller.StoreUp, logging.EventStoreUp
	if !up {
		change, event = controller.StoreDown, logging.EventStoreDown
	}
	engine.logger.Info().Str(logging.FieldEvent, string(event)).Send()
	engine.controllerStep(&controller.Event{Store: change})
}
