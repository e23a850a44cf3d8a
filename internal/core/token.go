package core

import (
	"maps"
	"time"

	"robinpulley.example/robinpulley/internal/admissionqueue"
	"robinpulley.example/robinpulley/internal/coldstart"
	"robinpulley.example/robinpulley/internal/conntrack"
	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/overload"
	"robinpulley.example/robinpulley/internal/passivehealth"
	"robinpulley.example/robinpulley/internal/reachability"
	"robinpulley.example/robinpulley/internal/rendezvous"
	"robinpulley.example/robinpulley/internal/steering"
)

// tokenAffinity is AffinityToken: the opening is given a token that names its
// back end, and every later packet goes by its token. Safety rests on nothing
// that this node remembers; see docs/design-platform.md.
type tokenAffinity struct {
	core     *Core
	table    *steering.Table // nil: no view yet
	observer *passivehealth.Observer
	// opened are the flows that a late answer to their opening must not move.
	opened   *conntrack.Table
	overload *overload.Controller
	// cold says which back ends that have just started this node may use.
	cold *coldstart.Limiter
	// reach says which zones' back ends this node reaches.
	reach    *reachability.Tracker
	waiting  *admissionqueue.Queue[heldOpening]
	rooms    *admissionqueue.FreeSlots
	looking  bool // openings that wait are decided anew
	closed   bool // nothing is held any more
	released []Released
	// factors are observer.Factor of the ready hosts of the service at hand.
	factors []float64
	// loads is what the fleet knows of services, and shares where their flows go by it.
	loads  map[lb.ServiceName]fleetload.Service
	shares map[lb.ServiceName]*share
	// sampleAt is when the next samples are due.
	sampleAt time.Duration
	// hands deals the new flows of each service; see hands.go.
	hands hands
}

func newTokenAffinity(core *Core) *tokenAffinity {
	affinity := &tokenAffinity{
		core: core, observer: passivehealth.New(passivehealth.DefaultSettings()), opened: conntrack.New(conntrack.DefaultSettings()), shares: make(map[lb.ServiceName]*share),
	}
	affinity.overload = overload.New(core.settings.Overload)
	affinity.cold = coldstart.New(core.settings.ColdStart)
	affinity.reach = reachability.New(reachability.DefaultSettings(core.settings.Zone))
	affinity.waiting = admissionqueue.New[heldOpening](core.settings.AdmissionQueue)
	affinity.rooms = admissionqueue.NewFreeSlots(core.settings.AdmissionQueue)
	return affinity
}

func (a *tokenAffinity) setTable(table *steering.Table) {
	a.table = table
	a.hands.keep(table.HasService)
	a.reach.Forget(table.HasZone)
	present := func(run uint64) bool { return table.HostOfRun(run) != nil }
	a.cold.Forget(func(identity coldstart.Identity) bool { return present(uint64(identity)) })
	a.observer.Forget(func(identity passivehealth.Identity) bool { return present(uint64(identity)) })
	a.overload.Forget(a.core.now, func(identity overload.Identity) bool { return present(uint64(identity)) }, table.HasService)
	a.waiting.Forget(table.HasService)
	a.rooms.Forget(table.HasService)
	maps.DeleteFunc(a.shares, func(name lb.ServiceName, _ *share) bool { return !table.HasService(name) })
}

func (a *tokenAffinity) setMembers(members []Member) {
	known := make([]coldstart.Member, len(members))
	for index, member := range members {
		known[index] = coldstart.Member{ID: member.ID, Leaving: member.Leaving}
	}
	a.cold.SetMembers(a.core.now, known)
	a.hands.setMembers(a.core.settings.Self, members)
	a.reach.SetNodes(len(members))
}

func (a *tokenAffinity) outcomes() []passivehealth.Outcome { return a.observer.Outcomes() }

func (a *tokenAffinity) avoid(identities []passivehealth.Identity) { a.observer.SetEjected(identities) }

func (a *tokenAffinity) changes() []passivehealth.Change { return a.observer.Changes() }

func (a *tokenAffinity) overloads() []overload.Change { return a.overload.Changes() }

func (a *tokenAffinity) pressures() []overload.Status {
	return a.overload.Status(a.core.now)
}

func (a *tokenAffinity) tracked() conntrack.Stats { return a.opened.Stats() }

func (a *tokenAffinity) openFlows() []conntrack.Flow { return a.opened.Announcements(a.core.now) }

func (a *tokenAffinity) recentFlows() []conntrack.Flow { return a.opened.Recent(a.core.now) }

func (a *tokenAffinity) learn(flows []conntrack.Flow) []conntrack.Flow {
	return a.opened.Learn(a.core.now, flows)
}

func (a *tokenAffinity) tick() {
	a.observer.Tick(a.core.now)
	a.opened.Tick(a.core.now)
	a.noteSigns()
	a.overload.Tick(a.core.now)
}

func (a *tokenAffinity) packet(packet *Packet, decision *Decision) {
	switch {
	case a.core.now < a.core.discardUntil:
		decision.drop(ReasonPaused)
	case a.table == nil:
		decision.drop(ReasonNoView)
	case packet.Kind == PacketOpening:
		if !a.superseded(packet, decision) {
			a.open(packet, decision)
		}
	default:
		a.follow(packet, decision)
	}
}

// open places a new flow. A copy of an opening goes where the one before went,
// unless that back end has fallen silent.
func (a *tokenAffinity) open(packet *Packet, decision *Decision) {
	flow := packet.Key.ID()
	a.opened.Opening(flow, packet.OpeningID)
	if packet.Copies == 0 {
		a.observer.Reopened(flow)
	}
	service := a.table.Service(&packet.Key)
	if service == nil {
		a.refuse(packet, decision, flow, ReasonUnknownService)
		return
	}
	decision.Service = service.Name
	host, placed := a.choose(service, flow, packet.Copies)
	if host == nil {
		a.refuse(packet, decision, flow, a.withoutBackend(service))
		return
	}
	frontend := packet.Key.Frontend()
	if !placed {
		if host = a.withRoom(packet, service, &frontend, host); host == nil {
			a.turnAway(packet, service, decision)
			return
		}
		a.noteOpened(service, &frontend)
		if packet.Copies > 0 {
			a.opened.Ambiguous(a.core.now, flow, packet.OpeningID)
		}
	}
	a.place(packet, decision, &frontend, host)
}

// place forwards an opening to a back end.
func (a *tokenAffinity) place(packet *Packet, decision *Decision, frontend *lb.FrontendKey, host *steering.Host) {
	forwardTo(decision, host)
	decision.Token = host.Token(frontend)
	a.observer.Opened(a.core.now, packet.Key.ID(), passivehealth.Identity(host.Run))
	if host.Cold {
		a.cold.Sent(a.core.now, coldstart.Identity(host.Run))
	}
}

// withoutBackend says why no back end of a service takes an opening. One whose
// zones are all evacuated is refused like one that has no back ends: the
// operators' word goes before a caller's, who may come back, and to hold the
// opening would only use up the time in which another attempt may succeed.
func (a *tokenAffinity) withoutBackend(service *steering.Service) Reason {
	if a.outOfReach(service) {
		return ReasonUnreachable
	}
	if len(service.Cold) > 0 {
		return ReasonCold
	}
	if service.Evacuated() {
		return ReasonEvacuated
	}
	return ReasonNoBackend
}

// choose gives the back end of an opening; placed tells that an earlier copy
// went there. Where the first choice is crowded, a second one is taken if it is
// less so. Copies go to no back end that leaves openings unanswered.
func (a *tokenAffinity) choose(service *steering.Service, flow lb.FlowID, copies uint32) (host *steering.Host, placed bool) {
	if identity, found := a.observer.Placed(a.core.now, flow); found {
		host := a.table.HostOfRun(uint64(identity))
		if host != nil && (service.Takes(host) || host.Cold && host.Service == service.Name && a.mayUse(service, host)) {
			return host, true
		}
	}
	if service.NeedsCold {
		if host := service.PickCold(flow, func(host *steering.Host) bool { return a.mayUse(service, host) }); host != nil {
			return host, false
		}
	}
	if host := a.probe(service, flow); host != nil {
		return host, false
	}
	first := a.deal(service, flow)
	if copies > 0 && first != nil && a.observer.Suspect(passivehealth.Identity(first.Run)) {
		if trusted := a.rankTrusted(service, flow); trusted != nil {
			return trusted, false
		}
	}
	if first != nil && !a.reach.Reaches(first.Zone) {
		return nil, false
	}
	if first == nil || !a.overload.Crowded(a.core.now, overload.Identity(first.Run)) {
		return first, false
	}
	other := service.PickOther(flow, nil)
	if other != nil && a.factor(service, other) > 0 && a.overload.Prefer(a.core.now, service.Name, overload.Identity(other.Run), overload.Identity(first.Run)) {
		return other, false
	}
	return first, false
}

// mayUse tells whether this node may send an opening to a cold back end now.
func (a *tokenAffinity) mayUse(service *steering.Service, host *steering.Host) bool {
	if !a.reach.Reaches(host.Zone) {
		return false
	}
	backend := coldstart.Backend{Identity: coldstart.Identity(host.Run), Zone: host.Zone, Rate: service.ColdRate}
	return a.cold.Allows(a.core.now, backend)
}

// weigh sets the factors of the hosts of a service at the time of the step.
func (a *tokenAffinity) weigh(service *steering.Service) {
	a.factors = a.factors[:0]
	for _, host := range service.Ready {
		a.factors = append(a.factors, a.factor(service, host))
	}
}

// factor is by how much this node lowers the weight of a host.
func (a *tokenAffinity) factor(service *steering.Service, host *steering.Host) float64 {
	if !a.reach.All() && !a.reach.Reaches(host.Zone) {
		return steering.FactorUnreached
	}
	return a.observer.Factor(a.core.now, service.Name, passivehealth.Identity(host.Run))
}

// admit asks whether an opening may go to a back end. Copies may always: an
// earlier one may have been forwarded by another node.
func (a *tokenAffinity) admit(packet *Packet, service *steering.Service, frontend *lb.FrontendKey, host *steering.Host) bool {
	if packet.Copies > 0 {
		return true
	}
	objective, _ := a.table.Objective(frontend)
	a.overload.SetSlots(a.core.now, service.Name, a.ownSlots(service))
	draw := rendezvous.Mix(uint64(packet.Key.ID()) ^ uint64(packet.OpeningID)<<32 ^ admitKey)
	return a.overload.Admit(a.core.now, service.Name, objective, overload.Identity(host.Run), draw)
}

// ownSlots gives this node's part of the slots of its zone's ready back ends of a service.
func (a *tokenAffinity) ownSlots(service *steering.Service) float64 {
	return service.Capacity()[a.core.settings.Zone] / float64(max(a.hands.place.Nodes, 1))
}

// admitKey makes admission independent of the choices of service and host.
const admitKey = 0xd1b54a32d192ed03

// follow sends a later packet to the back end that its token names, or to that at which
// the flow is known to be open. One that names none known here is dropped: the back end may be newer
// than this node's view, so an answer could break a living flow. A flow that a back end had before it
// started again is led there, too: it resets the flow, so that the caller learns at
// once that it is lost, which silence would show seconds later.
func (a *tokenAffinity) follow(packet *Packet, decision *Decision) {
	frontend := packet.Key.Frontend()
	flow := packet.Key.ID()
	a.noteOpenFlow(flow, &frontend, packet.Token)
	token := steering.Token(a.opened.Resolve(a.core.now, flow, conntrack.Token(packet.Token), packet.Acknowledged))
	host := a.table.Resolve(&frontend, token)
	if host == nil {
		decision.drop(ReasonUnknownToken)
		return
	}
	forwardTo(decision, host)
	decision.Token = token
	decision.Corrected = token != packet.Token
	if host.Token(&frontend) != token {
		return // of its run before: it resets the flow, which says nothing of how it does
	}
	if pending, found := a.observer.Pending(flow); found && pending != passivehealth.Identity(host.Run) {
		a.opened.Open(a.core.now, conntrack.Flow{ID: flow, Token: conntrack.Token(token), Acknowledged: packet.Acknowledged})
	}
	if packet.Kind == PacketClosing {
		a.overload.Closed(flow)
	}
	a.observer.Measure(a.core.now, flow, frontend, passivehealth.Identity(host.Run),
		packet.Acknowledged, packet.HasData, packet.Kind == PacketClosing)
	took, answered, begun := a.observer.Later(a.core.now, flow, host.Service,
		passivehealth.Identity(host.Run), packet.Acknowledged, packet.HasData)
	a.noteSigns()
	if !answered && !begun {
		return
	}
	objective, _ := a.table.Objective(&frontend)
	if answered {
		a.overload.Answered(a.core.now, host.Service, objective, host.Zone, overload.Identity(host.Run), took)
		a.rooms.Answered(a.core.now, host.Service, objective, host.Run, a.overload.Quick(host.Service, objective, took))
	}
	if begun {
		a.overload.Begun(a.core.now, host.Service, objective)
		a.overload.Carried(a.core.now, host.Service, objective, flow)
	}
}

// noteOpenFlow has a flow stay at the back end of its last request, where a packet comes with another
// token: another balancer has placed a copy of its opening, which was answered since.
func (a *tokenAffinity) noteOpenFlow(flow lb.FlowID, frontend *lb.FrontendKey, token steering.Token) {
	identity, acknowledged, found := a.observer.Exchanging(flow)
	if !found || a.opened.Knows(flow) {
		return
	}
	host := a.table.HostOfRun(uint64(identity))
	if host == nil || host.Token(frontend) == token {
		return
	}
	a.opened.Open(a.core.now, conntrack.Flow{ID: flow, Token: conntrack.Token(host.Token(frontend)), Acknowledged: acknowledged})
}

func forwardTo(decision *Decision, host *steering.Host) {
	decision.Action = ActionForward
	decision.Service = host.Service
	decision.Host = host.Address
	decision.Identity = host.Identity
}

// refuse answers an opening at once. An earlier copy may have been forwarded
// by another node, so that only the first copy is known not to have run.
func (a *tokenAffinity) refuse(packet *Packet, decision *Decision, flow lb.FlowID, reason Reason) {
	verdict := lb.NotRun
	if packet.Copies > 0 {
		verdict = lb.MayHaveRun
	}
	retryAfter := spreadRetry(a.core.settings.RetryAfter, flow, packet.OpeningID)
	decision.refuse(reason, lb.Refusal{Verdict: verdict, RetryAfter: retryAfter})
}

// spreadRetry spreads callers evenly over [base, 2 × base) by the hash of their
// flow and opening, so that they do not all come back together.
func spreadRetry(base time.Duration, flow lb.FlowID, openingID uint32) time.Duration {
	const steps = 1 << 16
	spread := (uint64(flow) ^ uint64(openingID)*0x9e3779b97f4a7c15) >> 13 % steps
	return base + base*time.Duration(spread)/steps
}
