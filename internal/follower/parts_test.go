package follower

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/view/viewtest"
)

// putMany writes the entries of many back ends.
func putMany(store *viewtest.Store, count int) {
	for index := range count {
		store.Put(lb.BackendName(fmt.Sprintf("i-%08x", uint32(index)*2654435761)), lb.BackendActive)
	}
}

// pair is a sender with a verified view and a requester that starts without one.
type pair struct {
	t                 *testing.T
	sender, requester *Core
	now               time.Duration
	lost              int // index of the message to the requester that is lost, from 1
	sent              int // number of messages to the requester
}

var (
	senderAddress    = netip.MustParseAddrPort("10.0.0.1:7946")
	requesterAddress = netip.MustParseAddrPort("10.0.0.2:7946")
)

// newPair returns a pair whose sender has the store's present state.
func newPair(t *testing.T, store *viewtest.Store) *pair {
	p := &pair{t: t, sender: New(DefaultSettings("teller", "zone", 1)), requester: New(DefaultSettings("asker", "zone", 2))}
	p.requester.settings.Seeds = []netip.AddrPort{senderAddress}
	var effects Effects
	p.sender.Step(0, &Event{}, &effects)
	p.sender.Step(0, &Event{Read: &ReadResult{Read: Read{Kind: ReadList}, Listing: store.List()}}, &effects)
	p.requester.Step(0, &Event{}, &effects)
	return p
}

// run sends ticks to both nodes for a time and delivers their messages. The transport must accept
// each message.
func (p *pair) run(duration time.Duration) {
	for end := p.now + duration; p.now < end; {
		p.now += 10 * time.Millisecond
		p.step(p.sender, &Event{})
		p.step(p.requester, &Event{})
	}
}

// step passes an event to a node and delivers the resulting messages.
func (p *pair) step(core *Core, event *Event) {
	var effects Effects
	core.Step(p.now, event, &effects)
	to, from, address := p.requester, lb.NodeID("teller"), senderAddress
	if core == p.requester {
		to, from, address = p.sender, "asker", requesterAddress
	}
	for _, outgoing := range effects.Messages {
		line, err := message.Encode(nil, from, outgoing.Message)
		if err != nil {
			p.t.Fatal(err)
		}
		_, received, err := message.Decode(line)
		if err != nil {
			p.t.Fatal(err)
		}
		if to == p.requester {
			if p.sent++; p.sent == p.lost {
				continue
			}
		}
		p.step(to, &Event{Message: &PeerMessage{From: from, Address: address, Message: received}})
	}
}

// TestWholeViewOfAnySizeIsTransferred covers a node that starts, or was disconnected for a long
// time, during an outage of the store. A view of any size must result in messages that can be sent,
// and a lost part must be requested again without repeating the other parts.
func TestWholeViewOfAnySizeIsTransferred(t *testing.T) {
	for _, count := range []int{600, 5000, 10000, 20000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			store := viewtest.NewStore()
			store.Configure(1, 80, 81)
			putMany(store, count)
			p := newPair(t, store)
			p.lost = 3
			p.run(10 * time.Second)
			is.Equal(p.requester.Replica().Revision(), store.Revision())
			is.Equal(len(p.requester.Replica().Backends()), count)
			_, verified := p.requester.Age(p.now)
			is.True(verified)
		})
	}
}

// TestManyChangesAreSentInParts covers a node that reconnects after a long disconnection and lacks
// more changes than one message can contain.
func TestManyChangesAreSentInParts(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80)
	putMany(store, 10000)
	p := newPair(t, store)
	p.run(5 * time.Second)
	is.Equal(p.requester.Replica().Revision(), store.Revision())
	before := store.Revision()
	putMany(store, 4000)
	store.Remove("i-00000000")
	var effects Effects
	p.sender.Step(p.now, &Event{Read: &ReadResult{Read: Read{Kind: ReadWatch}, Changes: store.Changes(before)}}, &effects)
	is.True(p.sender.replica.DeltaPart(p.now, before, 0).Part != nil)
	p.run(5 * time.Second)
	is.Equal(p.requester.Replica().Revision(), store.Revision())
	deleted := 0
	for _, known := range p.requester.Replica().Backends() {
		if known.Deleted {
			deleted++
		}
	}
	is.Equal(deleted, 1)
}

// TestCompactionCausesNoReadsByOtherNodes guards against listings by every node. A fleet has more
// back ends than one message can contain, and the store compacts its history every half second. The
// designated watcher lists all entries again, and the other nodes receive the changes from it.
func TestCompactionCausesNoReadsByOtherNodes(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3, 20, 1, maxLimit)
	fleet.store.Configure(1, 80, 81)
	putMany(fleet.store, 9000)
	fleet.run(200 * time.Millisecond)
	fleet.announce()
	fleet.run(10 * time.Second)
	before := fleet.calls()
	for round := range 10 {
		fleet.store.Configure(uint64(round+2), uint16(80+round%2), 82)
		fleet.store.Remove(lb.BackendName(fmt.Sprintf("i-%08x", uint32(round)*2654435761)))
		fleet.compacted = fleet.store.Revision()
		fleet.run(500 * time.Millisecond)
		fleet.compacted = fleet.store.WriteUnrelated()
		fleet.run(500 * time.Millisecond)
	}
	fleet.run(time.Second)
	is.Equal(fleet.behind(), 0)
	is.True(fleet.calls()-before <= 60) // a watch that fails because of compaction and a listing, three times a second
	for _, node := range fleet.nodes {
		is.Equal(node.core.Replica().Version(), uint64(11))
	}
}

// TestOtherNodesWaitForAListing checks that after a compaction of the store's history, the other
// nodes leave the listing, which takes seconds, to the designated watcher as long as its messages
// arrive. If it fails, the next node lists.
func TestOtherNodesWaitForAListing(t *testing.T) {
	for _, fails := range []bool{false, true} {
		t.Run(fmt.Sprintf("watcher fails %t", fails), func(t *testing.T) {
			is := is.New(t)
			fleet := settledFleetWithin(t, 3, 40, 1, maxLimit)
			fleet.listDelay = 2500 * time.Millisecond
			before := fleet.calls()
			fleet.run(time.Second)
			fleet.store.Configure(2, 81)
			fleet.compacted = fleet.store.WriteUnrelated()
			if fails {
				fleet.run(1500 * time.Millisecond)
				fleet.watchers()[0].dead = true
			}
			fleet.run(7500 * time.Millisecond)
			is.Equal(fleet.behind(), 0)
			is.True(fleet.calls()-before <= 24)
		})
	}
}
