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

// Size of a fleet that starts all at once, and its seeds.
const (
	startingNodes = 200
	seedCount     = 3
	askInterval   = 500 * time.Millisecond
)

// joinAll has every node that knows no other ask the seeds.
func (fleet *fleet) joinAll() {
	for _, asker := range fleet.nodes {
		if len(asker.view) > 1 {
			continue
		}
		for _, seed := range fleet.nodes[:seedCount] {
			if seed != asker {
				fleet.send(asker, seed, asker.core.JoinRequest())
			}
		}
	}
}

// startAlone gives nodes that know nobody.
func startAlone(t *testing.T) *fleet {
	fleet := newFleet(t, seedCount, 3, nil)
	for _, node := range fleet.nodes {
		fleet.add(node.machine, nil)
	}
	wide := newFleet(t, startingNodes, 3, nil)
	for _, machine := range wide.machines[seedCount:] {
		fleet.add(machine, nil)
	}
	return fleet
}

// TestFleetThatStartsAtOnceAgreesSoon: nodes ask three seeds, which answer a few
// of them with the whole membership and tell the others whom to ask.
func TestFleetThatStartsAtOnceAgreesSoon(t *testing.T) {
	is := is.New(t)
	fleet := startAlone(t)
	for range 8 {
		fleet.joinAll()
		fleet.runFor(askInterval)
	}
	is.True(fleet.agreed()) // 4 s after the start; by rumours alone it takes more than 5
}

// TestWholeMembershipIsEncodedOnceATick: whoever asks while others wait is
// answered with them, or told whom to ask.
func TestWholeMembershipIsEncodedOnceATick(t *testing.T) {
	is := is.New(t)
	fleet := startAlone(t)
	seed := fleet.nodes[0]
	encoded, whole, partial := 0, 0, 0
	count := func() {
		for _, outgoing := range seed.effects.Messages {
			if told, found := outgoing.Message.(message.Members); found && !told.Partial {
				encoded++
				whole++
			}
		}
		for _, batch := range seed.effects.Batches {
			encoded++
			if batch.Message.(message.Members).Partial {
				partial += len(batch.To)
				continue
			}
			whole += len(batch.To)
		}
	}
	fleet.runFor(time.Second)
	for _, asker := range fleet.nodes[1:61] {
		fleet.step(seed, &member.Event{Peer: &member.PeerEvent{
			From: asker.machine.ID, Address: asker.machine.Control, Message: asker.core.JoinRequest(),
		}})
		count()
	}
	is.Equal(whole, 1)
	_, answered := fleet.runUntil(time.Second, func() bool { return len(seed.effects.Batches) > 0 })
	is.True(answered)
	count()
	is.Equal(encoded, 3) // one at once, one for those who waited, one that names members
	is.Equal(whole, 9)
	is.Equal(partial, 51)
}

// BenchmarkWholeMembership is what it costs to encode and compress the whole
// membership for those who join; MaxMembers bounds it.
func BenchmarkWholeMembership(b *testing.B) {
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
			ping := message.Ping{Incarnation: 1, Full: true}
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
