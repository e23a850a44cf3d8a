package member_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/member"
	"robinpulley.example/robinpulley/internal/message"
)

// survivesFalseSuspicion makes one node send a suspicion of a healthy node, and reports whether all
// views still contain that node after a while.
func survivesFalseSuspicion(t *testing.T, refutes bool) bool {
	fleet := convergedFleet(t, 24, 3)
	victim := fleet.nodes[7]
	if !refutes {
		victim.core.DisableRefutation()
	}
	fleet.step(fleet.nodes[1], &member.Event{Peer: &member.PeerEvent{
		From:    fleet.nodes[2].machine.ID,
		Address: fleet.nodes[2].machine.Control,
		Message: message.Ping{Sequence: 1, Updates: []message.MemberUpdate{
			{Node: victim.machine.ID, State: message.MemberSuspect, Incarnation: victim.core.Incarnation()},
		}},
	}})
	for range 100 {
		fleet.runFor(100 * time.Millisecond)
		if !fleet.viewedBy(victim.machine.ID, true, nil) {
			return false
		}
	}
	return true
}

// TestRefutationByIncarnation checks that a falsely suspected node stays in all views, and that a
// mutant without refutation is removed from them.
func TestRefutationByIncarnation(t *testing.T) {
	is := is.New(t)
	is.True(survivesFalseSuspicion(t, true))
	is.True(!survivesFalseSuspicion(t, false)) // with the rule disabled
}

// learnsOfDeath makes a node refute a suspicion before it learns that another node has already
// declared it dead, and reports whether the node learns of that later.
func learnsOfDeath(t *testing.T, change func(*member.Core)) bool {
	fleet := convergedFleet(t, 6, 3)
	viewer, victim := fleet.nodes[0], fleet.nodes[1]
	change(viewer.core)
	send := func(to *node, update message.MemberUpdate) {
		fleet.step(to, &member.Event{Peer: &member.PeerEvent{
			From:    fleet.nodes[2].machine.ID,
			Address: fleet.nodes[2].machine.Control,
			Message: message.Ping{Updates: []message.MemberUpdate{update}},
		}})
	}
	incarnation := victim.core.Incarnation()
	send(viewer, message.MemberUpdate{Node: victim.machine.ID, State: message.MemberDead, Incarnation: incarnation})
	send(victim, message.MemberUpdate{Node: victim.machine.ID, State: message.MemberSuspect, Incarnation: incarnation})
	// The viewer receives the refutation before the victim receives the update that declares it
	// dead.
	fleet.step(viewer, &member.Event{Peer: &member.PeerEvent{
		From:    victim.machine.ID,
		Address: victim.machine.Control,
		Message: message.Ping{Sequence: 1, Incarnation: victim.core.Incarnation()},
	}})
	fleet.step(victim, &member.Event{Peer: &member.PeerEvent{
		From:    viewer.machine.ID,
		Address: viewer.machine.Control,
		Message: viewer.effects.Messages[0].Message,
	}})
	return victim.rejoined > 0
}

// TestNodeLearnsLateThatItWasDeclaredDead also checks that a node never learns of its declared
// death without the rule.
func TestNodeLearnsLateThatItWasDeclaredDead(t *testing.T) {
	is := is.New(t)
	is.True(learnsOfDeath(t, func(*member.Core) {}))
	is.True(!learnsOfDeath(t, (*member.Core).DisableDeathNotices)) // with the rule disabled
}

// TestStaleUpdatesAreIgnored checks that updates about an earlier incarnation of a node are
// ignored.
func TestStaleUpdatesAreIgnored(t *testing.T) {
	is := is.New(t)
	fleet := convergedFleet(t, 6, 3)
	viewer, other := fleet.nodes[0], fleet.nodes[1]
	old := other.core.Incarnation() - 1
	for _, state := range []message.MemberState{message.MemberSuspect, message.MemberDead, message.MemberLeaving} {
		fleet.step(viewer, &member.Event{Peer: &member.PeerEvent{
			From:    fleet.nodes[2].machine.ID,
			Address: fleet.nodes[2].machine.Control,
			Message: message.Ping{Updates: []message.MemberUpdate{{
				Node: other.machine.ID, Zone: other.machine.Zone, Control: other.machine.Control.String(),
				Data: other.machine.Data.String(), State: state, Incarnation: old,
			}}},
		}})
	}
	fleet.runFor(5 * time.Second)
	is.True(fleet.agreed())
	is.True(!viewer.view[other.machine.ID].Leaving)
	is.Equal(other.core.Incarnation(), old+1) // it had nothing to refute
}

// TestJoinRequestWithEqualViewReturnsNoList checks that a seed answers a periodic join request of a
// member with the full list only if their views differ.
func TestJoinRequestWithEqualViewReturnsNoList(t *testing.T) {
	is := is.New(t)
	fleet := convergedFleet(t, 6, 3)
	seed, requester := fleet.nodes[0], fleet.nodes[1]
	lists := func() int {
		fleet.step(seed, &member.Event{Peer: &member.PeerEvent{
			From: requester.machine.ID, Address: requester.machine.Control, Message: requester.core.JoinRequest(),
		}})
		count := 0
		for _, outgoing := range seed.effects.Messages {
			if _, found := outgoing.Message.(message.Members); found {
				count++
			}
		}
		return count
	}
	is.Equal(lists(), 0)
	fleet.step(requester, &member.Event{Peer: &member.PeerEvent{
		From: fleet.nodes[2].machine.ID, Address: fleet.nodes[2].machine.Control,
		Message: message.Ping{Updates: []message.MemberUpdate{{
			Node: fleet.nodes[3].machine.ID, State: message.MemberDead, Incarnation: fleet.nodes[3].core.Incarnation(),
		}}},
	}})
	is.Equal(lists(), 1)
}

// TestRumoursStayWithinTheirByteRate checks that the additional messages stay within their rate
// when many nodes announce changes at once.
func TestRumoursStayWithinTheirByteRate(t *testing.T) {
	is := is.New(t)
	fleet := convergedFleet(t, 48, 3)
	fleet.compress = true
	fleet.runFor(5 * time.Second)
	fleet.resetBytes()
	const span = 20 * time.Second
	for _, node := range fleet.nodes[:12] {
		fleet.step(node, &member.Event{Leave: true})
	}
	fleet.runFor(span)
	_, highest := fleet.bytesPerSecond(span)
	t.Logf("highest rate %.0f bytes/s", highest)
	is.True(highest < 4096)
	for _, node := range fleet.nodes {
		is.True(node.largest <= 1000)
	}
}

// TestAgreementWithOnePeerDoesNotHideAnother checks that a node requests the view of a peer that
// differs even while another peer agrees. Otherwise, when 192 nodes start at once, a few nodes that
// lack the same eight members agree with each other and do not learn of these members for over a
// minute.
func TestAgreementWithOnePeerDoesNotHideAnother(t *testing.T) {
	is := is.New(t)
	machine := func(id lb.NodeID, port uint16) member.Machine {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		return member.Machine{ID: id, Zone: "zone", Control: address, Data: address}
	}
	same, other := machine("same", 2), machine("other", 3)
	core, err := member.New(member.DefaultSettings(machine("self", 1), 1, 1))
	is.NoErr(err)
	var effects member.Effects
	core.Step(0, &member.Event{Machines: []member.Machine{same, other}}, &effects)
	receive := func(now time.Duration, from *member.Machine, content message.Message) {
		core.Step(now, &member.Event{Peer: &member.PeerEvent{From: from.ID, Address: from.Control, Message: content}}, &effects)
	}
	var updates []message.MemberUpdate
	for _, known := range []member.Machine{same, other} {
		updates = append(updates, message.MemberUpdate{
			Node: known.ID, Zone: known.Zone, Control: known.Control.String(), Data: known.Data.String(),
			State: message.MemberAlive, Incarnation: 1,
		})
	}
	receive(0, &same, message.Members{Updates: updates}) // the node has joined
	own, requested := uint64(0), false
	for now := time.Duration(0); now < 40*time.Second; now += member.TickInterval {
		core.Step(now, &member.Event{}, &effects)
		for _, from := range []*member.Machine{&same, &other} {
			view := own
			if from == &other {
				view++
			}
			receive(now, from, message.Ping{Sequence: 1, Incarnation: 1, View: view})
			for _, outgoing := range effects.Messages {
				if answer, ok := outgoing.Message.(message.PingAck); ok {
					own = answer.View
				}
				request, ok := outgoing.Message.(message.Ping)
				requested = requested || ok && request.RequestMembers && outgoing.To == "other"
			}
		}
	}
	is.True(requested)
}

// TestIndirectAnswerFromRemovedZone guards against a crash: the only node of a zone was probed
// through another node and declared dead meanwhile, and the answer arrived afterwards, when the
// zone was empty.
func TestIndirectAnswerFromRemovedZone(t *testing.T) {
	is := is.New(t)
	machine := func(id lb.NodeID, zone lb.Zone, port uint16) member.Machine {
		address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
		return member.Machine{ID: id, Zone: zone, Control: address, Data: address}
	}
	self, target, helper := machine("a1", "za", 1), machine("b1", "zb", 2), machine("c1", "zc", 3)
	core, err := member.New(member.DefaultSettings(self, 1, 1))
	is.NoErr(err)
	effects := member.Effects{}
	now := time.Duration(0)
	fromHelper := func(received message.Message) {
		core.Step(now, &member.Event{Peer: &member.PeerEvent{From: helper.ID, Address: helper.Control, Message: received}}, &effects)
	}
	update := func(m member.Machine, state message.MemberState) message.MemberUpdate {
		return message.MemberUpdate{
			Node: m.ID, Zone: m.Zone, Control: m.Control.String(), Data: m.Data.String(), State: state, Incarnation: 1,
		}
	}
	fromHelper(message.Members{Updates: []message.MemberUpdate{
		update(target, message.MemberAlive), update(helper, message.MemberAlive),
	}})
	sequence := uint64(0) // of the indirect probe of the target that the helper received
	for sequence == 0 && now < time.Minute {
		now += 50 * time.Millisecond
		core.Step(now, &member.Event{}, &effects)
		sent := append(effects.Messages[:0:0], effects.Messages...)
		for _, outgoing := range sent {
			switch probe := outgoing.Message.(type) {
			case message.Ping:
				if outgoing.Address == helper.Control && probe.Sequence > 0 {
					fromHelper(message.PingAck{Sequence: probe.Sequence, Incarnation: 1})
				}
			case message.PingReq:
				sequence = probe.Sequence
			}
		}
	}
	is.True(sequence > 0)
	fromHelper(message.Ping{Updates: []message.MemberUpdate{update(target, message.MemberDead)}})
	fromHelper(message.PingAck{Sequence: sequence, Incarnation: 1})
	is.Equal(len(core.Members(nil)), 2) // this node and the helper
}
