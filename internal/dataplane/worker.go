package dataplane

import (
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/packet"
)

// readErrorPause is how long a reader waits after an error of the socket, so
// that a lasting error does not take a whole core.
const readErrorPause = 10 * time.Millisecond

// worker is one reader. It owns all its buffers.
type worker struct {
	plane    *Plane
	batch    *batch
	packet   packet.Packet
	counters counters
}

func newWorker(plane *Plane) *worker {
	return &worker{plane: plane, batch: newBatch(plane.socket)}
}

// run reads, decides and writes until the socket is closed or its read
// deadline has passed.
func (worker *worker) run() {
	for {
		count, err := worker.batch.read()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			worker.counters.readErrors.Add(1)
			time.Sleep(readErrorPause)
			continue
		}
		for index := range count {
			worker.handle(worker.batch.datagram(index))
		}
		failed := worker.batch.write()
		worker.counters.writeErrors.Add(uint64(failed))
	}
}

// handle decodes one datagram and does what the core decides.
func (worker *worker) handle(datagram []byte) {
	worker.counters.received.Add(1)
	worker.counters.receivedBytes.Add(uint64(len(datagram)))
	if err := packet.Decode(datagram, &worker.packet); err != nil {
		worker.countMalformed(err)
		return
	}
	if worker.packet.Relayed() {
		worker.counters.fromPeers.Add(1)
	} else {
		worker.counters.fromFabric.Add(1)
	}
	decision := worker.plane.options.Decide(&worker.packet.Packet)
	worker.act(&decision)
}

func (worker *worker) countMalformed(err error) {
	cause, _ := packet.CauseOf(err) // index 0 counts errors without a cause, of which there are none
	worker.counters.malformed[cause].Add(1)
}

func (worker *worker) act(decision *core.Decision) {
	switch decision.Action {
	case core.ActionForward:
		worker.forward(decision)
	case core.ActionRelay:
		worker.relay(decision)
	case core.ActionRefuse:
		worker.counters.countReason(decision.Action, decision.Reason)
		worker.refuse(decision)
	default:
		worker.counters.countReason(core.ActionDrop, decision.Reason)
	}
}

func (worker *worker) forward(decision *core.Decision) {
	guard := worker.plane.options.Guard
	if guard != nil && !guard.Allows(&worker.packet.Key, decision.Host) {
		worker.counters.wrongService.Add(1)
		return
	}
	header := packet.Header{VNI: worker.packet.VNI}
	if worker.send(decision.Host, &header) {
		worker.counters.forwarded.Add(1)
	}
}

func (worker *worker) relay(decision *core.Decision) {
	if hopRank(&decision.Relay) <= hopRank(&worker.packet.Relay) {
		worker.counters.loops.Add(1)
		return
	}
	address, known := worker.plane.options.PeerAddress(decision.Peer)
	if !known {
		worker.counters.unknownPeer.Add(1)
		return
	}
	header := packet.Header{VNI: worker.packet.VNI, Relay: decision.Relay}
	if worker.send(address, &header) {
		worker.counters.relayed.Add(1)
	}
}

// The ranks of the hops of a packet. Each relaying must raise the rank, which
// bounds the hops of any packet whatever the nodes' views are.
const (
	rankIngress = iota
	rankHead
	rankReroutedHead
	rankTail
	rankReturn
)

func hopRank(relay *lb.Relay) int {
	switch {
	case relay.Hop == lb.HopReturn:
		return rankReturn
	case relay.Hop == lb.HopTail:
		return rankTail
	case relay.Hop == lb.HopHead && relay.Rerouted:
		return rankReroutedHead
	case relay.Hop == lb.HopHead:
		return rankHead
	}
	return rankIngress
}

// send queues the inner packet in Geneve for the address; false if it cannot.
func (worker *worker) send(address netip.AddrPort, header *packet.Header) bool {
	if !worker.plane.sendable(address) {
		worker.counters.unsendable.Add(1)
		return false
	}
	buffer := worker.batch.output()
	encoded, err := packet.Encode(buffer, worker.packet.Inner, header)
	if err != nil {
		// A decoded packet always encodes again; see packet.FuzzDecode.
		worker.counters.unsendable.Add(1)
		return false
	}
	worker.batch.queue(encoded, address)
	return true
}

func (worker *worker) refuse(decision *core.Decision) {
	buffer := worker.batch.output()
	encoded, err := packet.AppendRefusal(buffer, &worker.packet, decision.Refusal)
	if err != nil {
		worker.counters.unanswered.Add(1)
		return
	}
	worker.batch.queue(encoded, worker.replyAddress())
	worker.counters.refused.Add(1)
}

// replyAddress gives one fabric address to all refusals of a flow.
func (worker *worker) replyAddress() netip.AddrPort {
	addresses := worker.plane.options.ReplyTo
	flow := worker.packet.Key.ID()
	return addresses[uint64(flow)%uint64(len(addresses))]
}
