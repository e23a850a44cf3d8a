package core

import (
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// Sizes of encoded messages, estimated from the codec of package message.
const (
	messageBytes = 120 // size of a message without flows
	flowBytes    = 25  // size of one FlowRecord with its idle time
)

// hintsPerMessage limits the flows in one message of hints.
const hintsPerMessage = 40

// hint informs a node of the back end of a flow: a pin informs an ingress, and a confirmation a
// head. The loss of a hint costs additional hops but breaks no flow.
type hint struct {
	to        *node
	service   *service
	confirm   bool
	flow      lb.FlowID
	backend   lb.BackendID
	openingID uint32
}

// hintQueue collects the hints between two ticks.
type hintQueue struct {
	limit  limiter
	queued []hint
}

// add queues a hint if the byte budget allows it and no records wait to be handed over, which take
// precedence.
func (queue *hintQueue) add(core *Core, added hint) {
	if !core.handover.idle() || !queue.limit.take(core.now, queue.cost(&added)) {
		core.stats.HintsSuppressed++
		return
	}
	queue.queued = append(queue.queued, added)
}

// cost returns the number of bytes that a hint adds. For the first hint of a message, this includes
// the size of a message without flows.
func (queue *hintQueue) cost(added *hint) int64 {
	queuedInMessage := 0
	for index := range queue.queued {
		if queue.queued[index].sameMessage(added) {
			queuedInMessage++
		}
	}
	if queuedInMessage%hintsPerMessage == 0 {
		return messageBytes + flowBytes
	}
	return flowBytes
}

// sameMessage reports whether two hints can share one message.
func (first *hint) sameMessage(second *hint) bool {
	return first.to == second.to && first.service == second.service && first.confirm == second.confirm
}

// flush sends the queued hints, batched by node, service and kind.
func (queue *hintQueue) flush(core *Core, effects *Effects) {
	for index := range queue.queued {
		if queue.queued[index].to != nil {
			queue.sendBatch(core, effects, index)
		}
	}
	clear(queue.queued)
	queue.queued = queue.queued[:0]
}

// sendBatch sends the hint at index first together with the later hints that fit into its message.
func (queue *hintQueue) sendBatch(core *Core, effects *Effects, first int) {
	firstHint := queue.queued[first]
	pins := message.Pins{Service: firstHint.service.name, Confirm: firstHint.confirm}
	for index := first; index < len(queue.queued) && len(pins.Flows) < hintsPerMessage; index++ {
		entry := &queue.queued[index]
		if !entry.sameMessage(&firstHint) {
			continue
		}
		pins.Flows = append(pins.Flows, message.FlowRecord{Flow: entry.flow, Backend: entry.backend, OpeningID: entry.openingID})
		entry.to = nil
	}
	if !firstHint.to.member {
		core.stats.HintsSuppressed += uint64(len(pins.Flows))
		return
	}
	core.stats.HintsSent += uint64(len(pins.Flows))
	effects.send(firstHint.to, pins)
}

func (effects *Effects) send(to *node, content message.Message) {
	effects.Messages = append(effects.Messages, Outgoing{To: to.ID, Message: content})
}
