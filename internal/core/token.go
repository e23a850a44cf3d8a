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

// tokenAffinity implements AffinityToken: the opening gets a token that identifies its back end,
// and every later packet is forwarded by its token. Correctness depends on no state of this node;
// see docs/design-platform.md.
type tokenAffinity struct {
	core     *Core
	table    *steering.Table // nil until the first configuration arrives
	observer *passivehealth.Observer
	// trackedFlows are the flows that must not move to another back end when a late answer to their
	// opening arrives.
	trackedFlows *conntrack.Table
	overload     *overload.Controller
	// coldStart limits the new flows that this node sends to back ends that have just started.
	coldStart *coldstart.Limiter
	// reachability tracks the zones whose back ends this node can reach.
	reachability   *reachability.Tracker
	admissionQueue *admissionqueue.Queue[heldOpening]
	freeSlots      *admissionqueue.FreeSlots
	retryingQueue  bool // set while queued openings are decided again
	queueClosed    bool // no more openings are held
	released       []Released
	// weightFactors are the weight factors of the service's ready hosts, set by updateWeightFactors
	// and reused between calls.
	weightFactors []float64
	// fleetLoads is the fleet-wide load of services, and serviceWeights the weights derived from
	// it.
	fleetLoads     map[lb.ServiceName]fleetload.Service
	serviceWeights map[lb.ServiceName]*serviceWeights
	// nextSampleAt is when the next load samples are due.
	nextSampleAt time.Duration
	// subsets picks the back ends of new flows; see subset.go.
	subsets subsetPickers
}

func newTokenAffinity(core *Core) *tokenAffinity {
	affinity := &tokenAffinity{
		core: core, observer: passivehealth.New(passivehealth.DefaultSettings()), trackedFlows: conntrack.New(conntrack.DefaultSettings()), serviceWeights: make(map[lb.ServiceName]*serviceWeights),
	}
	affinity.overload = overload.New(core.settings.Overload)
	affinity.coldStart = coldstart.New(core.settings.ColdStart)
	affinity.reachability = reachability.New(reachability.DefaultSettings(core.settings.Zone))
	affinity.admissionQueue = admissionqueue.New[heldOpening](core.settings.AdmissionQueue)
	affinity.freeSlots = admissionqueue.NewFreeSlots(core.settings.AdmissionQueue)
	return affinity
}

func (a *tokenAffinity) setTable(table *steering.Table) {
	a.table = table
	a.subsets.retain(table.HasService)
	a.reachability.Forget(table.HasZone)
	present := func(instance uint64) bool { return table.HostOfInstance(instance) != nil }
	a.coldStart.Forget(func(identity coldstart.Identity) bool { return present(uint64(identity)) })
	a.observer.Forget(func(identity passivehealth.Identity) bool { return present(uint64(identity)) })
	a.overload.Forget(a.core.now, func(identity overload.Identity) bool { return present(uint64(identity)) }, table.HasService)
	a.admissionQueue.Forget(table.HasService)
	a.freeSlots.Forget(table.HasService)
	maps.DeleteFunc(a.serviceWeights, func(name lb.ServiceName, _ *serviceWeights) bool { return !table.HasService(name) })
}

func (a *tokenAffinity) setMembers(members []Member) {
	coldStartMembers := make([]coldstart.Member, len(members))
	for index, member := range members {
		coldStartMembers[index] = coldstart.Member{ID: member.ID, Leaving: member.Leaving}
	}
	a.coldStart.SetMembers(a.core.now, coldStartMembers)
	a.subsets.setMembers(a.core.settings.Self, members)
	a.reachability.SetNodes(len(members))
}

func (a *tokenAffinity) outcomes() []passivehealth.Outcome { return a.observer.Outcomes() }

func (a *tokenAffinity) setEjected(identities []passivehealth.Identity) {
	a.observer.SetEjected(identities)
}

func (a *tokenAffinity) backendChanges() []passivehealth.Change { return a.observer.Changes() }

func (a *tokenAffinity) overloadChanges() []overload.Change { return a.overload.Changes() }

func (a *tokenAffinity) overloadStatus() []overload.Status {
	return a.overload.Status(a.core.now)
}

func (a *tokenAffinity) trackedStats() conntrack.Stats { return a.trackedFlows.Stats() }

func (a *tokenAffinity) openFlowAnnouncements() []conntrack.Flow {
	return a.trackedFlows.Announcements(a.core.now)
}

func (a *tokenAffinity) recentFlows() []conntrack.Flow { return a.trackedFlows.Recent(a.core.now) }

func (a *tokenAffinity) applyOpenFlows(flows []conntrack.Flow) []conntrack.Flow {
	return a.trackedFlows.AddAnnounced(a.core.now, flows)
}

func (a *tokenAffinity) tick() {
	a.observer.Tick(a.core.now)
	a.trackedFlows.Tick(a.core.now)
	a.applyReachabilitySigns()
	a.overload.Tick(a.core.now)
}

func (a *tokenAffinity) decide(packet *Packet, decision *Decision) {
	switch {
	case a.core.now < a.core.dropPacketsUntil:
		decision.drop(ReasonPaused)
	case a.table == nil:
		decision.drop(ReasonNoView)
	case packet.Kind == PacketOpening:
		if !a.resolveDuplicate(packet, decision) {
			a.decideOpening(packet, decision)
		}
	default:
		a.decideLaterPacket(packet, decision)
	}
}

// decideOpening places a new flow. A copy of an opening goes to the same back end as the previous
// copy, unless that back end has become unresponsive.
func (a *tokenAffinity) decideOpening(packet *Packet, decision *Decision) {
	flow := packet.Key.ID()
	a.trackedFlows.RecordOpening(flow, packet.OpeningID)
	if packet.Copies == 0 {
		a.observer.RecordNewFlow(flow)
	}
	service := a.table.Service(&packet.Key)
	if service == nil {
		a.refuse(packet, decision, flow, ReasonUnknownService)
		return
	}
	decision.Service = service.Name
	host, placed := a.chooseHost(service, flow, packet.Copies)
	if host == nil {
		a.refuse(packet, decision, flow, a.noBackendReason(service))
		return
	}
	frontend := packet.Key.Frontend()
	if !placed {
		if host = a.admittedHost(packet, service, &frontend, host); host == nil {
			a.holdOrRefuse(packet, service, decision)
			return
		}
		a.countOpened(service, &frontend)
		if packet.Copies > 0 {
			a.trackedFlows.TrackAmbiguous(a.core.now, flow, packet.OpeningID)
		}
	}
	a.forwardOpening(packet, decision, &frontend, host)
}

// forwardOpening forwards an opening to a back end.
func (a *tokenAffinity) forwardOpening(packet *Packet, decision *Decision, frontend *lb.FrontendKey, host *steering.Host) {
	setForward(decision, host)
	decision.Token = host.Token(frontend)
	a.observer.RecordOpening(a.core.now, packet.Key.ID(), passivehealth.Identity(host.InstanceID))
	if host.Cold {
		a.coldStart.RecordSent(a.core.now, coldstart.Identity(host.InstanceID))
	}
}

// noBackendReason returns why no back end of a service can receive an opening. If all zones of the
// service are evacuated, the opening is refused in the same way as without back ends and is not
// held: the operators' decision takes precedence over a client's retry, and holding the opening
// would only use up the time in which another attempt may succeed.
func (a *tokenAffinity) noBackendReason(service *steering.Service) Reason {
	if a.allZonesUnreachable(service) {
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

// chooseHost returns the back end of an opening. The result placed reports that an earlier copy
// went there. If the first choice is overloaded, a second choice replaces it if it is less loaded.
// Copies go to no back end that leaves openings unanswered.
func (a *tokenAffinity) chooseHost(service *steering.Service, flow lb.FlowID, copies uint32) (host *steering.Host, placed bool) {
	if identity, found := a.observer.PlacedBackend(a.core.now, flow); found {
		host := a.table.HostOfInstance(uint64(identity))
		if host != nil && (service.IsReady(host) || host.Cold && host.Service == service.Name && a.coldStartAllows(service, host)) {
			return host, true
		}
	}
	if service.ColdNeeded {
		if host := service.PickCold(flow, func(host *steering.Host) bool { return a.coldStartAllows(service, host) }); host != nil {
			return host, false
		}
	}
	if host := a.probeHost(service, flow); host != nil {
		return host, false
	}
	first := a.pickHost(service, flow)
	if copies > 0 && first != nil && a.observer.IsSuspect(passivehealth.Identity(first.InstanceID)) {
		if unsuspected := a.pickUnsuspectedByRank(service, flow); unsuspected != nil {
			return unsuspected, false
		}
	}
	if first != nil && !a.reachability.Reachable(first.Zone) {
		return nil, false
	}
	if first == nil || !a.overload.BackendOverloaded(a.core.now, overload.Identity(first.InstanceID)) {
		return first, false
	}
	second := service.PickAlternative(flow, nil)
	if second != nil && a.weightFactor(service, second) > 0 && a.overload.LessLoaded(a.core.now, service.Name, overload.Identity(second.InstanceID), overload.Identity(first.InstanceID)) {
		return second, false
	}
	return first, false
}

// coldStartAllows reports whether this node may send an opening to a cold back end now.
func (a *tokenAffinity) coldStartAllows(service *steering.Service, host *steering.Host) bool {
	if !a.reachability.Reachable(host.Zone) {
		return false
	}
	backend := coldstart.Backend{Identity: coldstart.Identity(host.InstanceID), Zone: host.Zone, Rate: service.ColdRate}
	return a.coldStart.Allows(a.core.now, backend)
}

// updateWeightFactors computes the weight factors of the service's ready hosts at the time of the
// step.
func (a *tokenAffinity) updateWeightFactors(service *steering.Service) {
	a.weightFactors = a.weightFactors[:0]
	for _, host := range service.Ready {
		a.weightFactors = append(a.weightFactors, a.weightFactor(service, host))
	}
}

// weightFactor returns the factor by which this node lowers the weight of a host.
func (a *tokenAffinity) weightFactor(service *steering.Service, host *steering.Host) float64 {
	if !a.reachability.AllReachable() && !a.reachability.Reachable(host.Zone) {
		return steering.FactorUnreachable
	}
	return a.observer.Factor(a.core.now, service.Name, passivehealth.Identity(host.InstanceID))
}

// admit reports whether overload control admits an opening to a back end. Copies are always
// admitted, because another node may have forwarded an earlier copy.
func (a *tokenAffinity) admit(packet *Packet, service *steering.Service, frontend *lb.FrontendKey, host *steering.Host) bool {
	if packet.Copies > 0 {
		return true
	}
	objective, _ := a.table.Objective(frontend)
	a.overload.SetSlots(a.core.now, service.Name, a.localSlots(service))
	hash := rendezvous.Mix(uint64(packet.Key.ID()) ^ uint64(packet.OpeningID)<<32 ^ admissionHashKey)
	return a.overload.Admit(a.core.now, service.Name, objective, overload.Identity(host.InstanceID), hash)
}

// localSlots returns this node's part of the slots of the service's ready back ends in the local
// zone.
func (a *tokenAffinity) localSlots(service *steering.Service) float64 {
	return service.Capacity()[a.core.settings.Zone] / float64(max(a.subsets.position.Nodes, 1))
}

// admissionHashKey makes admission statistically independent of the choices of service and host.
const admissionHashKey = 0xd1b54a32d192ed03

// decideLaterPacket sends a later packet to the back end that its token identifies, or to the back
// end at which the flow is known to be open. If the token identifies no known back end, the packet
// is dropped: the back end may be newer than this node's view, so a refusal could break an open
// flow.
//
// If the back end has restarted since the flow was opened, the packet goes to its new instance.
// That instance resets the flow, so that the client learns of the loss at once and not by a timeout
// seconds later.
func (a *tokenAffinity) decideLaterPacket(packet *Packet, decision *Decision) {
	frontend := packet.Key.Frontend()
	flow := packet.Key.ID()
	a.trackOpenFlow(flow, &frontend, packet.Token)
	token := steering.Token(a.trackedFlows.Resolve(a.core.now, flow, conntrack.Token(packet.Token), packet.Acknowledged))
	host := a.table.Resolve(&frontend, token)
	if host == nil {
		decision.drop(ReasonUnknownToken)
		return
	}
	setForward(decision, host)
	decision.Token = token
	decision.Corrected = token != packet.Token
	if host.Token(&frontend) != token {
		// The flow belongs to a previous instance. The reset that follows does not indicate that
		// the present instance is unhealthy.
		return
	}
	if pending, found := a.observer.PendingBackend(flow); found && pending != passivehealth.Identity(host.InstanceID) {
		a.trackedFlows.RecordOpenFlow(a.core.now, conntrack.Flow{ID: flow, Token: conntrack.Token(token), Acknowledged: packet.Acknowledged})
	}
	if packet.Kind == PacketClosing {
		a.overload.CloseFlow(flow)
	}
	a.observer.MeasureAnswer(a.core.now, flow, frontend, passivehealth.Identity(host.InstanceID),
		packet.Acknowledged, packet.HasData, packet.Kind == PacketClosing)
	latency, answered, requestBegan := a.observer.RecordLaterPacket(a.core.now, flow, host.Service,
		passivehealth.Identity(host.InstanceID), packet.Acknowledged, packet.HasData)
	a.applyReachabilitySigns()
	if !answered && !requestBegan {
		return
	}
	objective, _ := a.table.Objective(&frontend)
	if answered {
		a.overload.RecordAnswer(a.core.now, host.Service, objective, host.Zone, overload.Identity(host.InstanceID), latency)
		a.freeSlots.RecordAnswer(a.core.now, host.Service, objective, host.InstanceID, a.overload.HadSpareCapacity(host.Service, objective, latency))
	}
	if requestBegan {
		a.overload.RecordRequest(a.core.now, host.Service, objective)
		a.overload.RecordRequestFlow(a.core.now, host.Service, objective, flow)
	}
}

// trackOpenFlow keeps a flow at the back end of its last request if a packet arrives with another
// token. In that case another balancer has placed a copy of the opening, and the answer to that
// copy arrived after the flow was opened.
func (a *tokenAffinity) trackOpenFlow(flow lb.FlowID, frontend *lb.FrontendKey, token steering.Token) {
	identity, acknowledged, found := a.observer.LastRequest(flow)
	if !found || a.trackedFlows.IsOpen(flow) {
		return
	}
	host := a.table.HostOfInstance(uint64(identity))
	if host == nil || host.Token(frontend) == token {
		return
	}
	a.trackedFlows.RecordOpenFlow(a.core.now, conntrack.Flow{ID: flow, Token: conntrack.Token(host.Token(frontend)), Acknowledged: acknowledged})
}

func setForward(decision *Decision, host *steering.Host) {
	decision.Action = ActionForward
	decision.Service = host.Service
	decision.Host = host.Address
	decision.Identity = host.Identity
}

// refuse replies to an opening at once. Another node may have forwarded an earlier copy, so only
// the refusal of a first copy may claim that the request has not run.
func (a *tokenAffinity) refuse(packet *Packet, decision *Decision, flow lb.FlowID, reason Reason) {
	verdict := lb.NotRun
	if packet.Copies > 0 {
		verdict = lb.MayHaveRun
	}
	retryAfter := jitteredRetryAfter(a.core.settings.RetryAfter, flow, packet.OpeningID)
	decision.refuse(reason, lb.Refusal{Verdict: verdict, RetryAfter: retryAfter})
}

// jitteredRetryAfter spreads retries evenly over [base, 2 × base) by a hash of flow and opening, so
// that refused clients do not all retry at the same time.
func jitteredRetryAfter(base time.Duration, flow lb.FlowID, openingID uint32) time.Duration {
	const steps = 1 << 16
	spread := (uint64(flow) ^ uint64(openingID)*0x9e3779b97f4a7c15) >> 13 % steps
	return base + base*time.Duration(spread)/steps
}
