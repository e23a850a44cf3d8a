package node

import (
	"slices"

	"robinpulley.example/robinpulley/internal/controller"
	"robinpulley.example/robinpulley/internal/gossip"
	"robinpulley.example/robinpulley/internal/logging"
)

// controllerStep steps the controller with an event and executes its effects.
func (engine *engine) controllerStep(event *controller.Event) {
	engine.controller.Step(engine.now(), event, &engine.controllerEffects)
	effects := &engine.controllerEffects
	for index := range effects.Writes {
		write := effects.Writes[index]
		engine.storeRequests.add(storeRequest{write: &write})
	}
	for _, service := range effects.Reads {
		engine.storeRequests.add(storeRequest{read: service})
	}
	if effects.Status != nil {
		engine.storeRequests.add(storeRequest{status: effects.Status})
	}
	for _, problem := range effects.Problems {
		engine.logger.Warn().Err(problem.Cause).
			Str(logging.FieldEvent, string(logging.EventDocumentRejected)).
			Str(logging.FieldKey, problem.Key).
			Send()
	}
	if effects.Epoch != "" {
		engine.storeRequests.add(storeRequest{epoch: effects.Epoch})
	}
	if len(effects.Placements) > 0 {
		engine.gossipStep(&gossip.Event{Placements: slices.Clone(effects.Placements)})
	}
	if published := engine.controller.PublishedRevision(); published > engine.publishedRevision {
		engine.publishedRevision = published
		engine.gossipStep(&gossip.Event{ConfigRevision: published})
	}
}

// applyDocuments passes documents from the watch of the store to the controller.
func (engine *engine) applyDocuments(documents *controller.Documents) {
	engine.runInput(func() {
		engine.storeListed = engine.storeListed || documents.Complete
		engine.controllerStep(&controller.Event{Documents: documents})
	})
}

// runControllerInput steps the controller with an event, as one input.
func (engine *engine) runControllerInput(event *controller.Event) {
	engine.runInput(func() { engine.controllerStep(event) })
}

// setStoreUp passes a change of the store's availability to the controller and logs the change.
func (engine *engine) setStoreUp(up bool) {
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
