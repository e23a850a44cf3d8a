package core

import (
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// Sizes of messages on the wire, estimated from the codec of package message.
const (
	messageBytes = 120 // of a message without flows
	flowBytes    = 25  // of one FlowRecord with its idle time
)

// hintsPerMessage bounds the flows in one message of hints.
const hintsPerMessage = 40

// hint tells a node the back end of a flow: a pin to an ingress, a confirmation
// to a head. Losing one costs hops, never a flow.
type hint struct {
	to        *node
	service   *service
	confirm   bool
	flow      lb.FlowID
	backend   lb.BackendID
	openingID uint32
}

// hintQueue collects the hints of one interval between ticks.
type hintQueue struct {
	limit  limiter
	queued []hint
}

// add queues a hint if the byte budget allows. Records to hand over go first.
func (queue *hintQueue) add(core *Core, added hint) {
	if !core.handover.idle() || !queue.limit.take(core.now, queue.cost(&added)) {
		core.stats.HintsSuppressed++
		return
	}
	queue.queued = append(queue.queued, added)
}

// cost gives the bytes that the hint adds: with the first of its message, those
// of the message.
func (queue *hintQueue) cost(added *hint) int64 {
	together := 0
	for index := range queue.queued {
		if queue.queued[index].together(added) {
			together++
		}
	}
	if together%hintsPerMessage == 0 {
		return messageBytes + flowBytes
	}
	return flowBytes
}

// together tells whether two hints go in one message.
func (first *hint) together(second *hint) bool {
	return first.to == second.to && first.service == second.service && first.confirm == second.confirm
}

// flush sends the queued hints, those of one kind for one node together.
func (queue *hintQueue) flush(core *Core, effects *Effects) {
	for index := range queue.queued {
		if queue.queued[index].to != nil {
			queue.sendLike(core, effects, index)
		}
	}
	clear(queue.queued)
	queue.queued = queue.queued[:0]
}

// sendLike sends the hint at first and those after it that fit in its message.
func (queue *hintQueue) sendLike(core *Core, effects *Effects, first int) {
	lead := queue.queued[first]
	pins := message.Pins{Service: lead.service.name, Confirm: lead.confirm}
	for index := first; index < len(queue.queued) && len(pins.Flows) < hintsPerMessage; index++ {
		entry := &queue.queued[index]
		if !entry.together(&lead) {
			continue
		}
		pins.Flows = append(pins.Flows, message.FlowRecord{Flow: entry.flow, Backend: entry.backend, OpeningID: entry.openingID})
		entry.to = nil
	}
	if !lead.to.member {
		core.stats.HintsSuppressed += uint64(len(pins.Flows))
		return
	}
	core.stats.HintsSent += uint64(len(pins.Flows))
	effects.send(lead.to, pins)
}

func (effects *Effects) send(to *node, content message.Message) {
	effects.Messages = append(effects.Messages, Outgoing{To: to.ID, Message: content})
}
