package baseline

import (
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
)

// stateless is a balancer that knows placements only, besides its own flow
// table if the method has one.
type stateless struct {
	settings  core.Settings
	choose    choice
	services  map[lb.ServiceName]*service
	frontends map[lb.Frontend]*service
	nodes     int        // members, to share the limit of new flows
	table     *flowTable // nil: none
}

// Step takes one event.
func (balancer *stateless) Step(now time.Duration, event *core.Event, effects *core.Effects) {
	*effects = core.Effects{Messages: effects.Messages[:0]}
	switch {
	case event.Packet != nil:
		effects.Decision = balancer.decide(now, event.Packet)
	case event.Placement != nil:
		balancer.adopt(event.Placement)
	case event.Members != nil:
		balancer.nodes = max(1, len(event.Members))
	}
	if event.Tick && balancer.table != nil {
		balancer.table.sweep(now)
	}
	effects.HandoverDone = event.Leave || event.Tick // nothing is ever handed over
}

func (balancer *stateless) adopt(document *lb.Placement) {
	known := balancer.services[document.Service]
	if known != nil && document.Version <= known.table.Version() {
		return
	}
	table, err := placement.Compile(document)
	if err != nil {
		return
	}
	if known == nil {
		known = &service{name: document.Service}
		balancer.services[document.Service] = known
	} else {
		balancer.forgetFrontends(known)
	}
	known.table = table
	for _, frontend := range document.Frontends {
		balancer.frontends[frontend] = known
	}
}

func (balancer *stateless) forgetFrontends(known *service) {
	for _, frontend := range known.table.Document().Frontends {
		if balancer.frontends[frontend] == known {
			delete(balancer.frontends, frontend)
		}
	}
}

// decide forwards the packet by the flow table or the method's choice.
func (balancer *stateless) decide(now time.Duration, packet *core.Packet) core.Decision {
	service := balancer.frontends[frontendOf(&packet.Key)]
	if service == nil {
		return core.Decision{Action: core.ActionDrop, Reason: core.ReasonUnknownService}
	}
	flow := packet.Key.ID()
	if balancer.table != nil {
		if backend, found := balancer.table.get(service, flow, now); found {
			return balancer.forward(service, backend)
		}
	}
	chosen := balancer.choose(service, flow)
	if packet.Kind == core.PacketOpening && !balancer.admit(service, now) {
		return balancer.refuse(service, lb.NotRun, core.ReasonAdmission)
	}
	if balancer.table != nil {
		balancer.table.put(service, flow, chosen, now)
	}
	return balancer.forward(service, chosen)
}

func frontendOf(key *lb.FlowKey) lb.Frontend {
	address := netip.AddrFrom16(key.Destination).Unmap()
	return lb.Frontend{Address: netip.AddrPortFrom(address, key.DestinationPort), Protocol: key.Protocol}
}

func (balancer *stateless) admit(service *service, now time.Duration) bool {
	limit := int64(service.table.Document().OpensPerSecond)
	if limit == 0 {
		return true
	}
	return service.limit.take(now, max(1, limit/int64(balancer.nodes)))
}

func (balancer *stateless) forward(service *service, id lb.BackendID) core.Decision {
	backend, found := service.table.Backend(id)
	switch {
	case id == lb.NoBackend:
		return balancer.refuse(service, lb.NotRun, core.ReasonNoBackend)
	case !found || backend.State == lb.BackendFailed:
		return balancer.refuse(service, lb.MayHaveRun, core.ReasonBackendFailed)
	}
	return core.Decision{Action: core.ActionForward, Service: service.name, Backend: id, Host: backend.Host}
}

func (balancer *stateless) refuse(service *service, verdict lb.Verdict, reason core.Reason) core.Decision {
	return core.Decision{
		Action:  core.ActionRefuse,
		Reason:  reason,
		Service: service.name,
		Refusal: lb.Refusal{Verdict: verdict, RetryAfter: balancer.settings.RetryAfter},
	}
}

// opensLimit is a token bucket of one second's burst.
type opensLimit struct {
	updated time.Duration
	tokens  int64 // in nanoseconds of the limit's rate
	started bool
}

// take takes one token from a bucket that fills at perSecond.
func (limit *opensLimit) take(now time.Duration, perSecond int64) bool {
	capacity := perSecond * int64(time.Second)
	if !limit.started {
		limit.started = true
		limit.tokens = capacity
	} else {
		elapsed := min(now-limit.updated, time.Second)
		limit.tokens = min(capacity, limit.tokens+int64(elapsed)*perSecond)
	}
	limit.updated = now
	if limit.tokens < int64(time.Second) {
		return false
	}
	limit.tokens -= int64(time.Second)
	return true
}
