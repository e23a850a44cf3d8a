package surge

import (
	"math"
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

// request is one request of a client with all its attempts.
type request struct {
	simulation *simulation
	class      int
	client     *client
	startedAt  time.Duration
	attempts   int
	ended      bool
}

func (r *request) classSettings() *Class { return &r.simulation.scenario.Classes[r.class] }

func (r *request) count() *Count {
	return &r.simulation.result.Classes[r.classSettings().Name][int(r.startedAt/time.Second)]
}

// try sends the request on an idle flow, or opens a new flow. Only the first attempt may use an
// idle flow.
func (r *request) try() {
	s := r.simulation
	r.attempts++
	if r.attempts == 1 {
		s.after(r.classSettings().Deadline, r.fail)
	}
	idle := r.client.idle[r.class]
	if r.classSettings().ReuseFlows && r.attempts == 1 && len(idle) > 0 {
		last := idle[len(idle)-1]
		r.client.idle[r.class] = idle[:len(idle)-1]
		r.send(last)
		return
	}
	r.open()
}

// open sends an opening to a node, which selects a host for the new flow.
func (r *request) open() {
	s := r.simulation
	r.client.port++
	source := netip.AddrPortFrom(r.client.address, r.client.port)
	f := &flow{key: lb.NewFlowKey(source, frontend(r.class), lb.TCP)}
	zone := s.byZone[r.client.zone]
	f.node = zone[uint64(f.key.ID())%uint64(len(zone))]
	s.after(linkDelay, func() {
		decision := s.step(f.node, &core.Event{Packet: &core.Packet{
			Key: f.key, Kind: core.PacketOpening, OpeningID: uint32(s.eventCount), Datagram: placeholderDatagram,
		}})
		if decision.Action == core.ActionHold {
			s.holdOpening(f.node, f.key, func(decision core.Decision) { r.handleDecision(f, decision) })
			return
		}
		r.handleDecision(f, decision)
	})
}

// placeholderDatagram is used as the datagram of every opening.
var placeholderDatagram = make([]byte, 34)

// handleDecision continues the request after the node has decided on its opening.
func (r *request) handleDecision(f *flow, decision core.Decision) {
	s := r.simulation
	forwarded := decision.Action == core.ActionForward && r.belowQueueLimit(f.node, int(decision.Identity)-1)
	r.recordOpening(f.node, forwarded)
	if !forwarded {
		s.after(linkDelay, r.retry)
		return
	}
	f.host = int(decision.Identity) - 1
	f.token = decision.Token
	s.after(3*linkDelay, func() { r.send(f) })
}

func (r *request) recordOpening(node int, forwarded bool) {
	s := r.simulation
	if !forwarded {
		s.result.Refused[int(s.now/time.Second)]++
	}
	if !r.classSettings().ReuseFlows {
		return
	}
	s.result.Offered[node]++
	if forwarded {
		s.result.Admitted[node]++
	}
}

// belowQueueLimit applies the rule of the QueueLimit policy. It returns true under other policies.
func (r *request) belowQueueLimit(node, host int) bool {
	s := r.simulation
	if s.scenario.Policy != QueueLimit {
		return true
	}
	zoneNodes := len(s.byZone[node%s.scenario.Zones])
	limit := max(1, (s.scenario.Slots+s.scenario.Queue/2)/zoneNodes)
	return s.nodes[node].inFlight[host] < limit
}

// send sends the request through the node to the host, and the host's answer back to the client.
func (r *request) send(f *flow) {
	s := r.simulation
	s.after(linkDelay, func() {
		s.deliverMiddlePacket(f, true)
		s.nodes[f.node].inFlight[f.host]++
		s.after(linkDelay, func() {
			s.serve(f.host, r.drawWork(), func(ran bool) { s.after(linkDelay, func() { r.handleAnswer(f, ran) }) })
		})
	})
}

// deliverMiddlePacket delivers a packet of an open flow to the flow's node, after the observation
// delay.
func (s *simulation) deliverMiddlePacket(f *flow, hasData bool) {
	event := &core.Event{Packet: &core.Packet{
		Key: f.key, Kind: core.PacketMiddle, Token: f.token, Acknowledged: f.acked, HasData: hasData,
	}}
	if s.scenario.ObservationDelay == 0 {
		s.step(f.node, event)
		return
	}
	s.after(s.scenario.ObservationDelay, func() { s.step(f.node, event) })
}

// drawWork returns a random time for which the request occupies a slot: log-normally distributed
// around the mean of the class, with a standard deviation of half the mean.
func (r *request) drawWork() time.Duration {
	const sigma = 0.47
	factor := math.Exp(sigma*r.simulation.random.NormFloat64() - sigma*sigma/2)
	return time.Duration(float64(r.classSettings().Work) * factor)
}

// handleAnswer handles the arrival of the answer at the client, which acknowledges it.
func (r *request) handleAnswer(f *flow, ran bool) {
	s := r.simulation
	f.acked++
	s.after(linkDelay, func() {
		s.deliverMiddlePacket(f, false)
		s.nodes[f.node].inFlight[f.host]--
	})
	if r.classSettings().ReuseFlows {
		r.client.idle[r.class] = append(r.client.idle[r.class], f)
	}
	switch {
	case r.ended:
	case !ran:
		r.retry()
	case s.now-r.startedAt <= r.classSettings().Target:
		s.result.Latencies = append(s.result.Latencies, s.now-r.startedAt)
		r.end(Count{InTime: 1})
	default:
		s.result.Latencies = append(s.result.Latencies, s.now-r.startedAt)
		r.end(Count{Late: 1})
	}
}

// retry makes another attempt, or fails the request after the last one.
func (r *request) retry() {
	switch {
	case r.ended:
	case r.attempts >= maxAttempts:
		r.fail()
	default:
		r.try()
	}
}

func (r *request) fail() {
	if r.ended {
		return
	}
	r.end(Count{Failed: 1})
}

// zoneCountsFrom is the time from which on requests count in Result.Zones. Before it, the nodes do
// not have the fleet's load yet.
const zoneCountsFrom = 3 * time.Second

// end ends the request and counts its outcome.
func (r *request) end(outcome Count) {
	r.ended = true
	r.count().add(outcome)
	if r.startedAt < zoneCountsFrom {
		return
	}
	outcome.Requests = 1
	counts := r.simulation.result.Zones[r.client.zone]
	sum := counts[r.classSettings().Name]
	sum.add(outcome)
	counts[r.classSettings().Name] = sum
}

// serve starts a request on a host if a slot is free, queues it, or rejects it if the queue is
// full.
func (s *simulation) serve(index int, work time.Duration, done func(ran bool)) {
	h := &s.hosts[index]
	switch {
	case h.busy < s.scenario.Slots:
		h.busy++
		s.startJob(index, job{work, done})
	case len(h.queue) < s.scenario.Queue:
		h.queue = append(h.queue, job{work, done})
	default:
		s.result.Shed++
		done(false)
	}
}

func (s *simulation) startJob(index int, j job) {
	if s.scenario.Slowdown != nil {
		j.work = time.Duration(float64(j.work) * s.scenario.Slowdown(index, s.now))
	}
	s.result.HostBusy[index] += j.work
	s.after(j.work, func() {
		h := &s.hosts[index]
		j.done(true)
		if len(h.queue) == 0 {
			h.busy--
			return
		}
		next := h.queue[0]
		h.queue = h.queue[1:]
		s.startJob(index, next)
	})
}
