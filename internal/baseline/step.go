package baseline

import (
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
)

// hashBalancer is a balancer whose only state is the placements, and a flow table if its method
// uses one.
type hashBalancer struct {
	settings      core.Settings
	selectBackend selectFunc
	services      map[lb.ServiceName]*service
	frontends     map[lb.Frontend]*service
	memberCount   int        // number of members, which share the admission limit of a service equally
	table         *flowTable // nil if the method uses none
}

// Step handles one event.
func (balancer *hashBalancer) Step(now time.Duration, event *core.Event, effects *core.Effects) {
	*effects = core.Effects{Messages: effects.Messages[:0]}
	switch {
	case event.Packet != nil:
		effects.Decision = balancer.decide(now, event.Packet)
	case event.Placement != nil:
		balancer.adopt(event.Placement)
	case event.Members != nil:
		balancer.memberCount = max(1, len(event.Members))
	}
	if event.Tick && balancer.table != nil {
		balancer.table.sweep(now)
	}
	effects.HandoverDone = event.Leave || event.Tick // this balancer has no records to hand over
}

// adopt replaces the placement of a service, unless the document is invalid or not newer.
func (balancer *hashBalancer) adopt(document *lb.Placement) {
	entry := balancer.services[document.Service]
	if entry != nil && document.Version <= entry.table.Version() {
		return
	}
	table, err := placement.Compile(document)
	if err != nil {
		return
	}
	if entry == nil {
		entry = &service{name: document.Service}
		balancer.services[document.Service] = entry
	} else {
		balancer.removeFrontends(entry)
	}
	entry.table = table
	for _, frontend := range document.Frontends {
		balancer.frontends[frontend] = entry
	}
}

// removeFrontends removes the front ends of a service's current placement.
func (balancer *hashBalancer) removeFrontends(entry *service) {
	for _, frontend := range entry.table.Document().Frontends {
		if balancer.frontends[frontend] == entry {
			delete(balancer.frontends, frontend)
		}
	}
}

// decide forwards the packet to the back end in the flow table, or to the one that the method
// selects. It refuses an opening above the admission limit.
func (balancer *hashBalancer) decide(now time.Duration, packet *core.Packet) core.Decision {
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
	backend := balancer.selectBackend(service, flow)
	if packet.Kind == core.PacketOpening && !balancer.admit(service, now) {
		return balancer.refuse(service, lb.NotRun, core.ReasonAdmission)
	}
	if balancer.table != nil {
		balancer.table.put(service, flow, backend, now)
	}
	return balancer.forward(service, backend)
}

// frontendOf returns the front end to which packets of the flow are addressed.
func frontendOf(key *lb.FlowKey) lb.Frontend {
	address := netip.AddrFrom16(key.Destination).Unmap()
	return lb.Frontend{Address: netip.AddrPortFrom(address, key.DestinationPort), Protocol: key.Protocol}
}

// admit reports whether a new flow is within this node's share of the admission limit.
func (balancer *hashBalancer) admit(service *service, now time.Duration) bool {
	limit := int64(service.table.Document().OpensPerSecond)
	if limit == 0 {
		return true
	}
	return service.admissionLimit.allow(now, max(1, limit/int64(balancer.memberCount)))
}

// forward returns the decision to forward to a back end, or a refusal if the back end is missing or
// failed.
func (balancer *hashBalancer) forward(service *service, id lb.BackendID) core.Decision {
	backend, found := service.table.Backend(id)
	switch {
	case id == lb.NoBackend:
		return balancer.refuse(service, lb.NotRun, core.ReasonNoBackend)
	case !found || backend.State == lb.BackendFailed:
		return balancer.refuse(service, lb.MayHaveRun, core.ReasonBackendFailed)
	}
	return core.Decision{Action: core.ActionForward, Service: service.name, Backend: id, Host: backend.Host}
}

func (balancer *hashBalancer) refuse(service *service, verdict lb.Verdict, reason core.Reason) core.Decision {
	return core.Decision{
		Action:  core.ActionRefuse,
		Reason:  reason,
		Service: service.name,
		Refusal: lb.Refusal{Verdict: verdict, RetryAfter: balancer.settings.RetryAfter},
	}
}

// tokenBucket is a token bucket whose burst is the tokens of one second.
type tokenBucket struct {
	updated time.Duration
	tokens  int64 // in billionths of a token
	started bool  // the first use fills the bucket
}

// allow removes one token, and reports whether there was one. The bucket refills at perSecond
// tokens per second.
func (limit *tokenBucket) allow(now time.Duration, perSecond int64) bool {
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
