package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/admissionqueue"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/passivehealth"
	"robinpulley.example/robinpulley/internal/steering"
)

// MaxHeldBytes is the maximum size of a held datagram. Openings carry no data, and packet headers
// on this path have 34 bytes.
const MaxHeldBytes = 64

// Released is an opening that was held, with its final decision.
type Released struct {
	Packet   Packet
	Decision Decision
	// Held is the datagram of the opening as it was received.
	Held HeldDatagram
}

// Datagram returns the datagram of the opening as it was received.
func (released *Released) Datagram() []byte {
	return released.Held.bytes[:released.Held.length]
}

// HeldDatagram is a copy of a datagram. A copy is necessary because the packet reader reuses its
// buffer at once.
type HeldDatagram struct {
	bytes  [MaxHeldBytes]byte
	length uint8
}

// Set copies at most MaxHeldBytes of a datagram.
func (held *HeldDatagram) Set(datagram []byte) {
	held.length = uint8(copy(held.bytes[:], datagram))
}

// heldOpening is the stored data of an opening in the admission queue.
type heldOpening struct {
	packet   Packet
	datagram HeldDatagram
}

// admittedHost returns the back end to which an opening goes now, or nil if it must wait or be
// refused. While the service is under pressure, a back end that has just freed a slot takes
// precedence. Otherwise it is the given back end, if overload control admits the opening.
func (a *tokenAffinity) admittedHost(packet *Packet, service *steering.Service, frontend *lb.FrontendKey, host *steering.Host) *steering.Host {
	admitted := a.admit(packet, service, frontend, host)
	if packet.Copies == 0 && !host.Cold && a.reachability.Reachable(host.Zone) && a.overload.NearLimit(service.Name) {
		if freeHost := a.claimFreeSlot(service, frontend); freeHost != nil {
			a.core.stats.HeldOpenings.ToFreedBackends++
			if !admitted {
				objective, _ := a.table.Objective(frontend)
				a.overload.CancelRefusal(a.core.now, service.Name, objective)
				a.overload.RecordAdmission(a.core.now, service.Name, objective)
			}
			return freeHost
		}
	}
	if !admitted {
		return nil
	}
	return host
}

// claimFreeSlot claims a slot at a back end that has just freed one. It returns nil if there is
// none, or if the back end is ejected, a suspect, unknown or unreachable.
func (a *tokenAffinity) claimFreeSlot(service *steering.Service, frontend *lb.FrontendKey) *steering.Host {
	objective, _ := a.table.Objective(frontend)
	identity, found := a.freeSlots.Claim(a.core.now, service.Name, objective)
	if !found || a.observer.Factor(a.core.now, service.Name, passivehealth.Identity(identity)) < 1 {
		return nil
	}
	host := a.table.HostOfInstance(identity)
	if host == nil || !service.IsReady(host) || !a.reachability.Reachable(host.Zone) {
		return nil
	}
	return host
}

// countOpened counts a flow that is placed for the first time.
func (a *tokenAffinity) countOpened(service *steering.Service, frontend *lb.FrontendKey) {
	objective, _ := a.table.Objective(frontend)
	a.freeSlots.RecordFlow(service.Name, objective)
}

// holdOrRefuse holds an opening that overload control has not admitted, or refuses it at once.
func (a *tokenAffinity) holdOrRefuse(packet *Packet, service *steering.Service, decision *Decision) {
	if a.hold(packet, service, decision) {
		return
	}
	a.refuse(packet, decision, packet.Key.ID(), ReasonOverload)
	decision.Pressure = a.overload.Pressure(service.Name)
}

// hold adds the first copy of an opening that was not admitted to the admission queue. It returns
// false if the opening must be refused at once.
func (a *tokenAffinity) hold(packet *Packet, service *steering.Service, decision *Decision) bool {
	if a.retryingQueue || a.queueClosed || packet.Copies > 0 || len(packet.Datagram) == 0 || len(packet.Datagram) > MaxHeldBytes {
		return false
	}
	frontend := packet.Key.Frontend()
	objective, _ := a.table.Objective(&frontend)
	held := a.admissionQueue.Enqueue(a.core.now, admissionqueue.Opening{
		Flow: packet.Key.ID(), OpeningID: packet.OpeningID, Service: service.Name, Objective: objective,
	})
	if held == nil {
		return false
	}
	held.Data.packet = *packet
	held.Data.packet.Datagram = nil
	held.Data.datagram.Set(packet.Datagram)
	a.overload.CancelRefusal(a.core.now, service.Name, objective)
	decision.Action = ActionHold
	return true
}

// resolveDuplicate handles a datagram of a flow whose opening is held. If it repeats the held
// datagram, it is dropped and resolveDuplicate returns true. If it is a later copy or a new
// opening of the flow, the held opening is dropped and the new datagram is decided in its place, so
// that only one of the two gets a decision.
func (a *tokenAffinity) resolveDuplicate(packet *Packet, decision *Decision) bool {
	held := a.admissionQueue.Find(packet.Key.ID())
	if held == nil {
		return false
	}
	if packet.Copies == 0 && packet.OpeningID == held.OpeningID {
		decision.drop(ReasonDuplicate)
		return true
	}
	replaced := Decision{Service: held.Service, HeldFor: a.core.now - held.Arrived}
	replaced.drop(ReasonDuplicate)
	a.release(held, &replaced)
	a.admissionQueue.Remove(held)
	return false
}

// retryQueued decides the queued openings again by the present view. If all is set, it decides all
// of them finally and disables the queue.
func (a *tokenAffinity) retryQueued(all bool) {
	a.retryingQueue = true
	defer func() { a.retryingQueue = false }()
	a.queueClosed = a.queueClosed || all
	a.admissionQueue.Retry(a.core.now, all, a.retryHeld)
}

// retryHeld decides one held opening again.
func (a *tokenAffinity) retryHeld(held *admissionqueue.QueuedOpening[heldOpening], phase admissionqueue.Phase) admissionqueue.Outcome {
	decision := Decision{Service: held.Service, HeldFor: a.core.now - held.Arrived}
	if phase == admissionqueue.PhaseExpired || a.core.now < a.core.dropPacketsUntil {
		decision.drop(ReasonPaused)
		a.release(held, &decision)
		return admissionqueue.OutcomeRemoved
	}
	if !a.retryOpening(&held.Data.packet, &decision, phase) {
		return admissionqueue.OutcomeQueued
	}
	a.release(held, &decision)
	if decision.Action == ActionForward {
		return admissionqueue.OutcomeReleased
	}
	return admissionqueue.OutcomeRemoved
}

// retryOpening decides a held opening again and returns false if it must wait longer. While the
// service is under pressure, the opening goes only to a back end that has freed a slot. If
// admission decided instead, all held openings would go out together as soon as the admission rate
// rises.
func (a *tokenAffinity) retryOpening(packet *Packet, decision *Decision, phase admissionqueue.Phase) bool {
	service := a.table.Service(&packet.Key)
	frontend := packet.Key.Frontend()
	objective, _ := a.table.Objective(&frontend)
	if service == nil || len(service.Ready) == 0 || a.allZonesUnreachable(service) || !a.overload.NearLimit(service.Name) {
		a.decideOpening(packet, decision)
		if decision.Reason == ReasonOverload && phase == admissionqueue.PhaseWaiting {
			a.overload.CancelRefusal(a.core.now, decision.Service, objective)
			return false
		}
		return true
	}
	if host := a.claimFreeSlot(service, &frontend); host != nil {
		a.core.stats.HeldOpenings.ToFreedBackends++
		a.overload.RecordAdmission(a.core.now, service.Name, objective)
		a.countOpened(service, &frontend)
		a.forwardOpening(packet, decision, &frontend, host)
		return true
	}
	if phase == admissionqueue.PhaseWaiting {
		return false
	}
	decision.Service = service.Name
	a.overload.RecordRefusal(a.core.now, service.Name, objective)
	a.holdOrRefuse(packet, service, decision)
	return true
}

func (a *tokenAffinity) release(held *admissionqueue.QueuedOpening[heldOpening], decision *Decision) {
	a.core.count(decision)
	a.core.stats.HeldOpenings.add(decision.HeldFor, decision.Action == ActionForward)
	a.released = append(a.released, Released{Packet: held.Data.packet, Decision: *decision, Held: held.Data.datagram})
}

// takeReleased returns the openings decided since the last call. The slice is valid until the next
// step.
func (a *tokenAffinity) takeReleased() []Released {
	released := a.released
	a.released = a.released[:0]
	return released
}

// HeldStats counts held openings.
type HeldStats struct {
	// Held counts the openings that were held, and Forwarded the held ones that were then
	// forwarded. The others were refused or dropped.
	Held, Forwarded uint64
	// ToFreedBackends counts the openings, held or not, that went to a back end which had just
	// freed a slot.
	ToFreedBackends uint64
	// HeldTime is the total time for which decided openings were held.
	HeldTime time.Duration
}

func (stats *HeldStats) add(held time.Duration, forwarded bool) {
	stats.HeldTime += held
	if forwarded {
		stats.Forwarded++
	}
}

func (a *tokenAffinity) queuedOpenings() int { return a.admissionQueue.Len() }
