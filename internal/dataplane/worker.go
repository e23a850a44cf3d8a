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
	plane  *Plane
	batch  *batch
	codec  Codec
	packet *core.Packet // the last one decoded
	// decision is the last one. It stands here since what is handed to a codec
	// would be allocated anew for each packet otherwise.
	decision core.Decision
	counters counters
}

func newWorker(plane *Plane) *worker {
	codec := plane.options.NewCodec()
	return &worker{plane: plane, codec: codec, batch: newBatch(plane.socket, codec.DatagramSize())}
}

// newReleaser gives a worker that reads nothing. Its buffers come with what it
// writes first: most nodes never hold anything.
func newReleaser(plane *Plane) *worker {
	return &worker{plane: plane, codec: plane.options.NewCodec()}
}

// release does what was decided on datagrams that were held.
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
		worker.act(&worker.decision)
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
		worker.flush()
	}
}

// handle decodes one datagram and does what the core decides.
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
	worker.act(&worker.decision)
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
	case core.ActionHold: // the core has a copy, and gives it to Plane.Release
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

// sendable tells whether packets may be sent to the address, and counts if not.
func (worker *worker) sendable(address netip.AddrPort) bool {
	if worker.plane.sendable(address) {
		return true
	}
	worker.counters.unsendable.Add(1)
	return false
}

// queue takes what was built for the address; false if building failed, which
// a decoded packet never leads to; see packet.FuzzDecode.
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
