package node

import (
	"net/netip"

	"robinpulley.example/robinpulley/internal/controller"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/gossip"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/member"
	"robinpulley.example/robinpulley/internal/message"
)

// transmitter sends a message to a control address without blocking.
type transmitter func(to netip.AddrPort, outgoing message.Message)

// outgoing is one message to a control address.
type outgoing struct {
	to      netip.AddrPort
	message message.Message
}

// enqueue adds a message to another node to the outbox.
func (engine *engine) enqueue(to netip.AddrPort, body message.Message) {
	engine.outbox = append(engine.outbox, outgoing{to: to, message: body})
}

// incoming is one message from a peer, or from this node to itself.
type incoming struct {
	from    lb.NodeID
	address netip.AddrPort // invalid if the message arrived over TCP from an unknown sender
	message message.Message
}

// dispatch passes a message to the state machines that process its type.
func (engine *engine) dispatch(incoming incoming) {
	engine.gossipStep(&gossip.Event{Peer: &gossip.PeerEvent{From: incoming.from, Message: incoming.message}})
	switch body := incoming.message.(type) {
	case message.Ping, message.PingAck, message.PingReq, message.Members:
		engine.memberStep(&member.Event{Peer: &member.PeerEvent{
			From: incoming.from, Address: incoming.address, Message: body,
		}})
		if answer, isAnswer := body.(message.PingAck); isAnswer {
			engine.applyDigestAnswer(incoming.from, &answer)
		}
	case message.Clean:
		engine.controllerStep(&controller.Event{Clean: &controller.CleanReport{From: incoming.from, Clean: body}})
	case message.Load:
		engine.controllerStep(&controller.Event{Load: &body})
	case message.Pins, message.Records, message.RecordsAck:
		engine.coreStep(&core.Event{Peer: &core.PeerEvent{From: incoming.from, Message: body}})
	}
}

// send sends a message to a node, which may be this one. It drops messages to unknown nodes.
func (engine *engine) send(to lb.NodeID, outgoing message.Message) {
	if to == engine.settings.Node {
		engine.selfMessages = append(engine.selfMessages, outgoing)
		return
	}
	address, found := engine.member.Resolve(to)
	if found {
		engine.enqueue(address, outgoing)
	}
}
