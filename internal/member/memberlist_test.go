package member_test

import (
	"fmt"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/member"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/transport"
)

// These are the size of a fleet whose nodes all start at once, the number of its seeds, and the
// interval of join requests.
const (
	startingNodes = 200
	seedCount     = 3
	joinInterval  = 500 * time.Millisecond
)

// sendJoinRequests makes every node that knows no other node send a join request to the seeds.
func (fleet *fleet) sendJoinRequests() {
	for _, requester := range fleet.nodes {
		if len(requester.view) > 1 {
			continue
		}
		for _, seed := range fleet.nodes[:seedCount] {
			if seed != requester {
				fleet.send(requester, seed, requester.core.JoinRequest())
			}
		}
	}
}

// unjoinedFleet returns a fleet whose nodes know no other nodes.
func unjoinedFleet(t *testing.T) *fleet {
	fleet := newFleet(t, seedCount, 3, nil)
	for _, node := range fleet.nodes {
		fleet.add(node.machine, nil)
	}
	large := newFleet(t, startingNodes, 3, nil)
	for _, machine := range large.machines[seedCount:] {
		fleet.add(machine, nil)
	}
	return fleet
}

// TestSimultaneousStartConverges covers a fleet whose nodes all request the member list from three
// seeds, which answer a few of them with the full list and the others with a partial one.
func TestSimultaneousStartConverges(t *testing.T) {
	is := is.New(t)
	fleet := unjoinedFleet(t)
	for range 8 {
		fleet.sendJoinRequests()
		fleet.runFor(joinInterval)
	}
	is.True(fleet.agreed()) // 4 s after the start; with rumours alone it takes more than 5 s
}

// TestFullMemberListIsEncodedOncePerTick checks that requests that arrive while others wait are
// answered together at the next tick, with the full list or with a partial one.
func TestFullMemberListIsEncodedOncePerTick(t *testing.T) {
	is := is.New(t)
	fleet := unjoinedFleet(t)
	seed := fleet.nodes[0]
	encoded, full, partial := 0, 0, 0
	count := func() {
		for _, outgoing := range seed.effects.Messages {
			if list, found := outgoing.Message.(message.Members); found && !list.Partial {
				encoded++
				full++
			}
		}
		for _, batch := range seed.effects.Batches {
			encoded++
			if batch.Message.(message.Members).Partial {
				partial += len(batch.To)
				continue
			}
			full += len(batch.To)
		}
	}
	fleet.runFor(time.Second)
	for _, requester := range fleet.nodes[1:61] {
		fleet.step(seed, &member.Event{Peer: &member.PeerEvent{
			From: requester.machine.ID, Address: requester.machine.Control, Message: requester.core.JoinRequest(),
		}})
		count()
	}
	is.Equal(full, 1)
	_, answered := fleet.runUntil(time.Second, func() bool { return len(seed.effects.Batches) > 0 })
	is.True(answered)
	count()
	// One list was sent immediately, and one full and one partial list to the queued requesters.
	is.Equal(encoded, 3)
	is.Equal(full, 9)
	is.Equal(partial, 51)
}

// BenchmarkFullMemberList measures the cost of encoding and compressing the full member list for
// joining nodes. MaxMembers limits its size.
func BenchmarkFullMemberList(b *testing.B) {
	for _, count := range []int{300, 1000, message.MaxMembers} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			machines := make([]member.Machine, count)
			for index := range machines {
				address := netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)})
				machines[index] = member.Machine{
					ID: lb.NodeID(fmt.Sprintf("node-%05d", index)), Zone: lb.Zone(fmt.Sprintf("zone-%d", index%12)),
					Control: netip.AddrPortFrom(address, 4700), Data: netip.AddrPortFrom(address, 6081),
				}
			}
			core, err := member.New(member.DefaultSettings(machines[0], 1, 1))
			if err != nil {
				b.Fatal(err)
			}
			ping := message.Ping{Incarnation: 1, RequestMembers: true}
			var effects member.Effects
			core.Step(0, &member.Event{Machines: machines}, &effects)
			size, now := 0, time.Duration(0)
			for b.Loop() {
				now += time.Second
				core.Step(now, &member.Event{Peer: &member.PeerEvent{
					From: machines[1].ID, Address: machines[1].Control, Message: ping,
				}}, &effects)
				line, err := message.Encode(nil, machines[0].ID, effects.Messages[0].Message)
				if err != nil {
					b.Fatal(err)
				}
				size = len(transport.Pack(message.TypeMembers, line))
			}
			b.ReportMetric(float64(size), "packed-bytes")
		})
	}
}
