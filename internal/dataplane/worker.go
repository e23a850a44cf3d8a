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

// readErrorDelay is the delay after a read error of the socket, so that a persistent error does not
// occupy a whole CPU.
const readErrorDelay = 10 * time.Millisecond

// worker is one reader of the socket. It owns all its buffers.
type worker struct {
	plane  *Plane
	batch  *batch
	codec  Codec
	packet *core.Packet // the last decoded packet
	// decision is the last decision. It is a field because an argument of a codec's method escapes
	// to the heap, which would cost an allocation for each packet.
	decision core.Decision
	counters counters
}

func newWorker(plane *Plane) *worker {
	codec := plane.options.NewCodec()
	return &worker{plane: plane, codec: codec, batch: newBatch(plane.socket, codec.DatagramSize())}
}

// newReleaser returns a worker that only writes. Its batch is allocated on the first write, since
// most nodes never hold a datagram.
func newReleaser(plane *Plane) *worker {
	return &worker{plane: plane, codec: plane.options.NewCodec()}
}

// release executes the decisions on held datagrams.
func (worker *worker) release(released []core.Released) {
	if len(released) == 0 {
		return
	}
	if worker.batch == nil {
		worker.batch = newBatch(worker.plane.socket, 0)
	}
	for index := range released {
		decoded, err := worker.codec.Decode(released[index].Datagram())
		if err != nil {
			worker.countMalformed(err)
			continue
		}
		worker.packet = decoded
		worker.decision = released[index].Decision
		worker.execute(&worker.decision)
		if worker.batch.queued == batchSize {
			worker.flush()
		}
	}
	worker.flush()
}

func (worker *worker) flush() {
	failed := worker.batch.write()
	worker.counters.writeErrors.Add(uint64(failed))
}

// run reads, decides and writes until the socket is closed or its read deadline has passed.
func (worker *worker) run() {
	for {
		count, err := worker.batch.read()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			worker.counters.readErrors.Add(1)
			time.Sleep(readErrorDelay)
			continue
		}
		for index := range count {
			worker.handle(worker.batch.datagram(index))
		}
		worker.flush()
	}
}

// handle decodes one datagram and executes the core's decision on it.
func (worker *worker) handle(datagram []byte) {
	worker.counters.received.Add(1)
	worker.counters.receivedBytes.Add(uint64(len(datagram)))
	decoded, err := worker.codec.Decode(datagram)
	if err != nil {
		worker.countMalformed(err)
		return
	}
	worker.packet = decoded
	if decoded.Relay.Hop != lb.HopIngress {
		worker.counters.fromPeers.Add(1)
	} else {
		worker.counters.fromFabric.Add(1)
	}
	worker.decision = worker.plane.options.Decide(decoded)
	worker.execute(&worker.decision)
}

func (worker *worker) countMalformed(err error) {
	cause, _ := packet.CauseOf(err) // index 0 is for errors without a cause; there are none
	worker.counters.malformed[cause].Add(1)
}

func (worker *worker) execute(decision *core.Decision) {
	switch decision.Action {
	case core.ActionForward:
		worker.forward(decision)
	case core.ActionRelay:
		worker.relay(decision)
	case core.ActionRefuse:
		worker.counters.countReason(decision.Action, decision.Reason)
		worker.refuse(decision)
	case core.ActionHold: // the core has a copy and passes it to Plane.Release
		worker.counters.held.Add(1)
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
	if !worker.sendable(decision.Host) {
		return
	}
	encoded, err := worker.codec.AppendForward(worker.batch.output(), decision)
	if worker.queue(encoded, decision.Host, err) {
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
	if !worker.sendable(address) {
		return
	}
	encoded, err := worker.codec.AppendRelay(worker.batch.output(), decision.Relay)
	if worker.queue(encoded, address, err) {
		worker.counters.relayed.Add(1)
	}
}

// The ranks of the hops of a packet. Each relay must increase the rank, which bounds the number of
// hops of any packet even if the nodes' views differ.
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

// sendable reports whether packets may be sent to the address, and counts the packet as unsendable
// if not.
func (worker *worker) sendable(address netip.AddrPort) bool {
	if worker.plane.sendable(address) {
		return true
	}
	worker.counters.unsendable.Add(1)
	return false
}

// queue adds an encoded datagram to the batch. It returns false if encoding failed, which does not
// happen for a decoded packet; see packet.FuzzDecode.
func (worker *worker) queue(encoded []byte, to netip.AddrPort, err error) bool {
	if err != nil {
		worker.counters.unsendable.Add(1)
		return false
	}
	worker.batch.queue(encoded, to)
	return true
}

func (worker *worker) refuse(decision *core.Decision) {
	encoded, to, err := worker.codec.AppendRefusal(worker.batch.output(), decision.Refusal)
	if err != nil {
		worker.counters.unanswered.Add(1)
		return
	}
	worker.batch.queue(encoded, to)
	worker.counters.refused.Add(1)
}
