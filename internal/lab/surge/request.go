package surge

import (
	"math"
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

// request is one request of a caller, over all its tries.
type request struct {
	world  *world
	class  int
	caller *caller
	begun  time.Duration
	tried  int
	ended  bool
}

func (r *request) settings() *Class { return &r.world.scenario.Classes[r.class] }

func (r *request) count() *Count {
	return &r.world.result.Classes[r.settings().Name][int(r.begun/time.Second)]
}

// try sends the request on a flow that rests, or opens one.
func (r *request) try() {
	w := r.world
	r.tried++
	if r.tried == 1 {
		w.after(r.settings().Deadline, r.fail)
	}
	resting := r.caller.idle[r.class]
	if r.settings().Long && r.tried == 1 && len(resting) > 0 {
		last := resting[len(resting)-1]
		r.caller.idle[r.class] = resting[:len(resting)-1]
		r.send(last)
		return
	}
	r.open()
}

// open has a node place a new flow.
func (r *request) open() {
	w := r.world
	r.caller.port++
	source := netip.AddrPortFrom(r.caller.address, r.caller.port)
	f := &flow{key: lb.NewFlowKey(source, frontend(r.class), lb.TCP)}
	zone := w.byZone[r.caller.zone]
	f.node = zone[uint64(f.key.ID())%uint64(len(zone))]
	w.after(hop, func() {
		decision := w.step(f.node, &core.Event{Packet: &core.Packet{
			Key: f.key, Kind: core.PacketOpening, OpeningID: uint32(w.order), Datagram: anyDatagram,
		}})
		if decision.Action == core.ActionHold {
			w.hold(f.node, f.key, func(decision core.Decision) { r.placed(f, decision) })
			return
		}
		r.placed(f, decision)
	})
}

// anyDatagram stands for those of all openings.
var anyDatagram = make([]byte, 34)

// placed goes on once the node has decided on an opening.
func (r *request) placed(f *flow, decision core.Decision) {
	w := r.world
	forwarded := decision.Action == core.ActionForward && r.withinQueue(f.node, int(decision.Identity)-1)
	r.noteOpening(f.node, forwarded)
	if !forwarded {
		w.after(hop, r.again)
		return
	}
	f.host = int(decision.Identity) - 1
	f.token = decision.Token
	w.after(3*hop, func() { r.send(f) })
}

func (r *request) noteOpening(node int, forwarded bool) {
	w := r.world
	if !forwarded {
		w.result.Refused[int(w.now/time.Second)]++
	}
	if !r.settings().Long {
		return
	}
	w.result.Offered[node]++
	if forwarded {
		w.result.Admitted[node]++
	}
}

// withinQueue is the rule of QueueLimit.
func (r *request) withinQueue(node, host int) bool {
	w := r.world
	if w.scenario.Policy != QueueLimit {
		return true
	}
	zoneNodes := len(w.byZone[node%w.scenario.Zones])
	limit := max(1, (w.scenario.Slots+w.scenario.Queue/2)/zoneNodes)
	return w.nodes[node].underWay[host] < limit
}

// send has the request pass the node to the host, and the answer come back.
func (r *request) send(f *flow) {
	w := r.world
	w.after(hop, func() {
		w.later(f, true)
		w.nodes[f.node].underWay[f.host]++
		w.after(hop, func() {
			w.serve(f.host, r.work(), func(ran bool) { w.after(hop, func() { r.answered(f, ran) }) })
		})
	})
}

// later has the node see a packet of an open flow.
func (w *world) later(f *flow, hasData bool) {
	event := &core.Event{Packet: &core.Packet{
		Key: f.key, Kind: core.PacketMiddle, Token: f.token, Acknowledged: f.acked, HasData: hasData,
	}}
	if w.scenario.NewsDelay == 0 {
		w.step(f.node, event)
		return
	}
	w.after(w.scenario.NewsDelay, func() { w.step(f.node, event) })
}

// work draws the time at a slot: lognormal around the mean, with a deviation of half of it.
func (r *request) work() time.Duration {
	const sigma = 0.47
	factor := math.Exp(sigma*r.world.random.NormFloat64() - sigma*sigma/2)
	return time.Duration(float64(r.settings().Work) * factor)
}

// answered is the answer's arrival at the caller, who acknowledges it.
func (r *request) answered(f *flow, ran bool) {
	w := r.world
	f.acked++
	w.after(hop, func() {
		w.later(f, false)
		w.nodes[f.node].underWay[f.host]--
	})
	if r.settings().Long {
		r.caller.idle[r.class] = append(r.caller.idle[r.class], f)
	}
	switch {
	case r.ended:
	case !ran:
		r.again()
	case w.now-r.begun <= r.settings().Target:
		w.result.Times = append(w.result.Times, w.now-r.begun)
		r.end(Count{InTime: 1})
	default:
		w.result.Times = append(w.result.Times, w.now-r.begun)
		r.end(Count{Late: 1})
	}
}

// again tries once more, or gives up.
func (r *request) again() {
	switch {
	case r.ended:
	case r.tried >= tries:
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

// settled is from when on requests count in Result.Zones: what the fleet knows comes late at first.
const settled = 3 * time.Second

// end counts what became of the request.
func (r *request) end(end Count) {
	r.ended = true
	r.count().add(end)
	if r.begun < settled {
		return
	}
	end.Asked = 1
	ends := r.world.result.Zones[r.caller.zone]
	sum := ends[r.settings().Name]
	sum.add(end)
	ends[r.settings().Name] = sum
}

// serve has a host work on a request, queue it, or shed it at once.
func (w *world) serve(index int, work time.Duration, done func(ran bool)) {
	h := &w.hosts[index]
	switch {
	case h.busy < w.scenario.Slots:
		h.busy++
		w.run(index, job{work, done})
	case len(h.queue) < w.scenario.Queue:
		h.queue = append(h.queue, job{work, done})
	default:
		w.result.Shed++
		done(false)
	}
}

func (w *world) run(index int, j job) {
	if w.scenario.Slow != nil {
		j.work = time.Duration(float64(j.work) * w.scenario.Slow(index, w.now))
	}
	w.result.HostBusy[index] += j.work
	w.after(j.work, func() {
		h := &w.hosts[index]
		j.done(true)
		if len(h.queue) == 0 {
			h.busy--
			return
		}
		next := h.queue[0]
		h.queue = h.queue[1:]
		w.run(index, next)
	})
}
