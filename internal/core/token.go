package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/observe"
	"robinpulley.example/robinpulley/internal/steering"
)

// tokenAffinity is AffinityToken: the opening is given a token that names its
// back end, and every later packet goes by its token. Safety rests on nothing
// that this node remembers; see docs/design-platform.md.
type tokenAffinity struct {
	core     *Core
	table    *steering.Table // nil: no view yet
	observer *observe.Observer
	// factor is observer.Factor at the time of the step.
	factor func(*steering.Host) float64
}

func newTokenAffinity(core *Core) *tokenAffinity {
	affinity := &tokenAffinity{core: core, observer: observe.New(observe.DefaultSettings())}
	affinity.factor = func(host *steering.Host) float64 {
		return affinity.observer.Factor(core.now, host.Service, observe.Identity(host.Identity))
	}
	return affinity
}

func (affinity *tokenAffinity) setTable(table *steering.Table) {
	affinity.table = table
	present := make(map[observe.Identity]bool, len(table.Hosts()))
	for _, host := range table.Hosts() {
		present[observe.Identity(host.Identity)] = true
	}
	affinity.observer.Forget(func(identity observe.Identity) bool { return present[identity] })
}

func (affinity *tokenAffinity) changes() []observe.Change { return affinity.observer.Changes() }

func (affinity *tokenAffinity) tick() { affinity.observer.Tick(affinity.core.now) }

func (affinity *tokenAffinity) packet(packet *Packet, decision *Decision) {
	switch {
	case affinity.core.now < affinity.core.discardUntil:
		decision.drop(ReasonPaused)
	case affinity.table == nil:
		decision.drop(ReasonNoView)
	case packet.Kind == PacketOpening:
		affinity.open(packet, decision)
	default:
		affinity.follow(packet, decision)
	}
}

// open places a new flow. A copy of an opening goes where the one before went,
// unless that back end has fallen silent.
func (affinity *tokenAffinity) open(packet *Packet, decision *Decision) {
	flow := packet.Key.ID()
	service := affinity.table.Service(&packet.Key)
	if service == nil {
		affinity.refuse(packet, decision, flow, ReasonUnknownService)
		return
	}
	decision.Service = service.Name
	host := affinity.choose(service, flow)
	if host == nil {
		affinity.refuse(packet, decision, flow, ReasonNoBackend)
		return
	}
	frontend := packet.Key.Frontend()
	forwardTo(decision, host)
	decision.Token = host.Token(&frontend)
	affinity.observer.Opened(affinity.core.now, flow, observe.Identity(host.Identity))
}

func (affinity *tokenAffinity) choose(service *steering.Service, flow lb.FlowID) *steering.Host {
	if identity, placed := affinity.observer.Placed(affinity.core.now, flow); placed {
		for _, host := range service.Ready {
			if observe.Identity(host.Identity) == identity {
				return host
			}
		}
	}
	return service.Pick(flow, affinity.factor)
}

// follow sends a later packet to the back end that its token names. One that
// names none known here is dropped: the back end may be newer than this node's
// view, so an answer could break a living flow.
func (affinity *tokenAffinity) follow(packet *Packet, decision *Decision) {
	frontend := packet.Key.Frontend()
	host := affinity.table.Resolve(&frontend, packet.Token)
	if host == nil {
		decision.drop(ReasonUnknownToken)
		return
	}
	forwardTo(decision, host)
	decision.Token = packet.Token
	affinity.observer.Later(affinity.core.now, packet.Key.ID(), host.Service,
		observe.Identity(host.Identity), packet.Acknowledged, packet.HasData)
}

func forwardTo(decision *Decision, host *steering.Host) {
	decision.Action = ActionForward
	decision.Service = host.Service
	decision.Host = host.Address
	decision.Identity = host.Identity
}

// refuse answers an opening at once. An earlier copy may have been forwarded
// by another node, so that only the first copy is known not to have run.
func (affinity *tokenAffinity) refuse(packet *Packet, decision *Decision, flow lb.FlowID, reason Reason) {
	verdict := lb.NotRun
	if packet.Copies > 0 {
		verdict = lb.MayHaveRun
	}
	retryAfter := spreadRetry(affinity.core.settings.RetryAfter, flow, packet.OpeningID)
	decision.refuse(reason, lb.Refusal{Verdict: verdict, RetryAfter: retryAfter})
}

// spreadRetry spreads callers evenly over [base, 2 × base) by the hash of their
// flow and opening, so that they do not all come back together.
func spreadRetry(base time.Duration, flow lb.FlowID, openingID uint32) time.Duration {
	const steps = 1 << 16
	spread := (uint64(flow) ^ uint64(openingID)*0x9e3779b97f4a7c15) >> 13 % steps
	return base + base*time.Duration(spread)/steps
}
