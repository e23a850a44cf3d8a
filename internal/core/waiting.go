package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/admissionqueue"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/passivehealth"
	"robinpulley.example/robinpulley/internal/steering"
)

// MostHeldBytes is the largest datagram that is held: openings carry no data,
// and a head on this path has 34 bytes.
const MostHeldBytes = 64

// Released is an opening that was held, and what has now become of it.
type Released struct {
	Packet   Packet
	Decision Decision
	// Kept is the opening as it came.
	Kept HeldDatagram
}

// Datagram is the opening as it came.
func (released *Released) Datagram() []byte {
	return released.Kept.bytes[:released.Kept.length]
}

// HeldDatagram is a copy of a datagram: the reader's own is used again at once.
type HeldDatagram struct {
	bytes  [MostHeldBytes]byte
	length uint8
}

// Keep copies a datagram, up to MostHeldBytes of it.
func (held *HeldDatagram) Keep(datagram []byte) {
	held.length = uint8(copy(held.bytes[:], datagram))
}

// heldOpening is what is kept of an opening that waits.
type heldOpening struct {
	packet   Packet
	datagram HeldDatagram
}

// withRoom gives the back end that an opening goes to: while the service is
// pressed, one that has just become free, or else the one at hand if admission
// lets it in. nil: there is no room now.
func (a *tokenAffinity) withRoom(packet *Packet, service *steering.Service, frontend *lb.FrontendKey, host *steering.Host) *steering.Host {
	admitted := a.admit(packet, service, frontend, host)
	if packet.Copies == 0 && !host.Cold && a.reach.Reaches(host.Zone) && a.overload.Pressed(service.Name) {
		if freed := a.freed(service, frontend); freed != nil {
			a.core.stats.Waited.Freed++
			if !admitted {
				objective, _ := a.table.Objective(frontend)
				a.overload.Held(a.core.now, service.Name, objective)
				a.overload.Opened(a.core.now, service.Name, objective)
			}
			return freed
		}
	}
	if !admitted {
		return nil
	}
	return host
}

// freed gives a back end that has just become free, if one is known of which
// nothing bad is, or nil.
func (a *tokenAffinity) freed(service *steering.Service, frontend *lb.FrontendKey) *steering.Host {
	objective, _ := a.table.Objective(frontend)
	identity, found := a.rooms.Claim(a.core.now, service.Name, objective)
	if !found || a.observer.Factor(a.core.now, service.Name, passivehealth.Identity(identity)) < 1 {
		return nil
	}
	host := a.table.HostOfRun(identity)
	if host == nil || !service.Takes(host) || !a.reach.Reaches(host.Zone) {
		return nil
	}
	return host
}

// noteOpened counts a flow that is placed for the first time.
func (a *tokenAffinity) noteOpened(service *steering.Service, frontend *lb.FrontendKey) {
	objective, _ := a.table.Objective(frontend)
	a.rooms.Opened(service.Name, objective)
}

// turnAway holds an opening that admission has turned away, or refuses it at once.
func (a *tokenAffinity) turnAway(packet *Packet, service *steering.Service, decision *Decision) {
	if a.hold(packet, service, decision) {
		return
	}
	a.refuse(packet, decision, packet.Key.ID(), ReasonOverload)
	decision.Pressure = a.overload.Pressure(service.Name)
}

// hold keeps the first copy of an opening that admission has turned away; false:
// it is to be refused at once.
func (a *tokenAffinity) hold(packet *Packet, service *steering.Service, decision *Decision) bool {
	if a.looking || a.closed || packet.Copies > 0 || len(packet.Datagram) == 0 || len(packet.Datagram) > MostHeldBytes {
		return false
	}
	frontend := packet.Key.Frontend()
	objective, _ := a.table.Objective(&frontend)
	held := a.waiting.Hold(a.core.now, admissionqueue.Opening{
		Flow: packet.Key.ID(), OpeningID: packet.OpeningID, Service: service.Name, Objective: objective,
	})
	if held == nil {
		return false
	}
	held.Kept.packet = *packet
	held.Kept.packet.Datagram = nil
	held.Kept.datagram.Keep(packet.Datagram)
	a.overload.Held(a.core.now, service.Name, objective)
	decision.Action = ActionHold
	return true
}

// superseded notes that another datagram of a flow has come whose opening waits.
// A repeated datagram waits with the first; a copy, or a new opening of the flow,
// is decided in its place, so that there is one decision for both.
func (a *tokenAffinity) superseded(packet *Packet, decision *Decision) bool {
	held := a.waiting.Find(packet.Key.ID())
	if held == nil {
		return false
	}
	if packet.Copies == 0 && packet.OpeningID == held.OpeningID {
		decision.drop(ReasonCopied)
		return true
	}
	gone := Decision{Service: held.Service, Waited: a.core.now - held.Arrived}
	gone.drop(ReasonCopied)
	a.release(held, &gone)
	a.waiting.Remove(held)
	return false
}

// look decides anew on the openings that wait, by the present view, and on all of
// them for good if all is set.
func (a *tokenAffinity) look(all bool) {
	a.looking = true
	defer func() { a.looking = false }()
	a.closed = a.closed || all
	a.waiting.Look(a.core.now, all, a.lookAt)
}

// lookAt decides on one opening that waits.
func (a *tokenAffinity) lookAt(held *admissionqueue.Waiter[heldOpening], chance admissionqueue.Chance) admissionqueue.Fate {
	decision := Decision{Service: held.Service, Waited: a.core.now - held.Arrived}
	if chance == admissionqueue.ChanceGone || a.core.now < a.core.discardUntil {
		decision.drop(ReasonPaused)
		a.release(held, &decision)
		return admissionqueue.FateEnded
	}
	if !a.openAgain(&held.Kept.packet, &decision, chance) {
		return admissionqueue.FateWaits
	}
	a.release(held, &decision)
	if decision.Action == ActionForward {
		return admissionqueue.FateWent
	}
	return admissionqueue.FateEnded
}

// openAgain decides anew on an opening that waits; false: it waits on. While the
// service is pressed it goes only where a back end has become free: by admission
// all that wait would go at the moment at which it lets in more.
func (a *tokenAffinity) openAgain(packet *Packet, decision *Decision, chance admissionqueue.Chance) bool {
	service := a.table.Service(&packet.Key)
	frontend := packet.Key.Frontend()
	objective, _ := a.table.Objective(&frontend)
	if service == nil || len(service.Ready) == 0 || a.outOfReach(service) || !a.overload.Pressed(service.Name) {
		a.open(packet, decision)
		if decision.Reason == ReasonOverload && chance == admissionqueue.ChanceMore {
			a.overload.Held(a.core.now, decision.Service, objective)
			return false
		}
		return true
	}
	if host := a.freed(service, &frontend); host != nil {
		a.core.stats.Waited.Freed++
		a.overload.Opened(a.core.now, service.Name, objective)
		a.noteOpened(service, &frontend)
		a.place(packet, decision, &frontend, host)
		return true
	}
	if chance == admissionqueue.ChanceMore {
		return false
	}
	decision.Service = service.Name
	a.overload.Refused(a.core.now, service.Name, objective)
	a.turnAway(packet, service, decision)
	return true
}

func (a *tokenAffinity) release(held *admissionqueue.Waiter[heldOpening], decision *Decision) {
	a.core.count(decision)
	a.core.stats.Waited.add(decision.Waited, decision.Action == ActionForward)
	a.released = append(a.released, Released{Packet: held.Kept.packet, Decision: *decision, Kept: held.Kept.datagram})
}

// takeReleased gives what has been decided since the last call. It holds until the next step.
func (a *tokenAffinity) takeReleased() []Released {
	released := a.released
	a.released = a.released[:0]
	return released
}

// Waits counts openings that were held.
type Waits struct {
	// Held were held, Went forwarded after that. The others were refused or dropped.
	Held, Went uint64
	// Freed are openings, held or not, that went to a back end which had just become free.
	Freed uint64
	// Time is how long all of them waited that have been decided.
	Time time.Duration
}

func (waits *Waits) add(waited time.Duration, went bool) {
	waits.Time += waited
	if went {
		waits.Went++
	}
}

func (a *tokenAffinity) waits() int { return a.waiting.Len() }
