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

// fill writes the entries of back ends.
func fill(store *viewtest.Store, count int) {
	for index := range count {
		store.Put(lb.BackendName(fmt.Sprintf("i-%08x", uint32(index)*2654435761)), lb.BackendActive)
	}
}

// pair is two nodes, one of which has a confirmed view.
type pair struct {
	t             *testing.T
	teller, asker *Core
	now           time.Duration
	lost          int // the message to the asker that is lost, from 1
	sent          int
}

var (
	tellerAddress = netip.MustParseAddrPort("10.0.0.1:7946")
	askerAddress  = netip.MustParseAddrPort("10.0.0.2:7946")
)

func newPair(t *testing.T, store *viewtest.Store) *pair {
	p := &pair{t: t, teller: New(DefaultSettings("teller", "zone", 1)), asker: New(DefaultSettings("asker", "zone", 2))}
	p.asker.settings.Seeds = []netip.AddrPort{tellerAddress}
	var effects Effects
	p.teller.Step(0, &Event{}, &effects)
	p.teller.Step(0, &Event{Read: &ReadResult{Read: Read{Kind: ReadList}, Listing: store.List()}}, &effects)
	p.asker.Step(0, &Event{}, &effects)
	return p
}

// run ticks both nodes for a time and carries their messages, each of which must be one
// that the transport takes.
func (p *pair) run(duration time.Duration) {
	for end := p.now + duration; p.now < end; {
		p.now += 10 * time.Millisecond
		p.step(p.teller, &Event{})
		p.step(p.asker, &Event{})
	}
}

func (p *pair) step(core *Core, event *Event) {
	var effects Effects
	core.Step(p.now, event, &effects)
	to, from, address := p.asker, lb.NodeID("teller"), tellerAddress
	if core == p.asker {
		to, from, address = p.teller, "asker", askerAddress
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
		if to == p.asker {
			if p.sent++; p.sent == p.lost {
				continue
			}
		}
		p.step(to, &Event{Message: &PeerMessage{From: from, Address: address, Message: received}})
	}
}

// TestWholeViewOfAnySizeIsTold: the load is that of a node that starts, or was cut off for
// long, while the store is away. No size makes a message that cannot be sent; a part that
// is lost is asked for again, and no other with it.
func TestWholeViewOfAnySizeIsTold(t *testing.T) {
	for _, count := range []int{600, 5000, 10000, 20000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			store := viewtest.NewStore()
			store.Configure(1, 80, 81)
			fill(store, count)
			p := newPair(t, store)
			p.lost = 3
			p.run(10 * time.Second)
			is.Equal(p.asker.Replica().Revision(), store.Revision())
			is.Equal(len(p.asker.Replica().Backends()), count)
			_, confirmed := p.asker.Age(p.now)
			is.True(confirmed)
		})
	}
}

// TestManyChangesAreToldInParts: so many that one message cannot tell them, after a long cut.
func TestManyChangesAreToldInParts(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80)
	fill(store, 10000)
	p := newPair(t, store)
	p.run(5 * time.Second)
	is.Equal(p.asker.Replica().Revision(), store.Revision())
	before := store.Revision()
	fill(store, 4000)
	store.Remove("i-00000000")
	var effects Effects
	p.teller.Step(p.now, &Event{Read: &ReadResult{Read: Read{Kind: ReadWatch}, Changes: store.Changes(before)}}, &effects)
	is.True(p.teller.replica.DeltaPart(p.now, before, 0).Part != nil)
	p.run(5 * time.Second)
	is.Equal(p.asker.Replica().Revision(), store.Revision())
	gone := 0
	for _, known := range p.asker.Replica().Backends() {
		if known.Gone {
			gone++
		}
	}
	is.Equal(gone, 1)
}

// TestForgottenHistoryCostsNoCallANode: the load is that of a fleet before more back ends
// than one message can tell of, while the store forgets its history every half a second.
// The node that reads lists all again; the others learn from it what has changed.
func TestForgottenHistoryCostsNoCallANode(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3, 20, 1, maxLimit)
	fleet.store.Configure(1, 80, 81)
	fill(fleet.store, 9000)
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
	is.True(fleet.calls()-before <= 60) // a watch that ends without its history and a listing, thrice a second
	for _, node := range fleet.nodes {
		is.Equal(node.core.Replica().Version(), uint64(11))
	}
}

// TestOthersWaitForAListing: the load is that of a store that has forgotten its history,
// before so many back ends that to list them takes seconds. The others leave that to the
// node that reads, as long as it is heard; should it end, the next one lists.
func TestOthersWaitForAListing(t *testing.T) {
	for _, ends := range []bool{false, true} {
		t.Run(fmt.Sprintf("reader ends %t", ends), func(t *testing.T) {
			is := is.New(t)
			fleet := calmWithin(t, 3, 40, 1, maxLimit)
			fleet.listDelay = 2500 * time.Millisecond
			before := fleet.calls()
			fleet.run(time.Second)
			fleet.store.Configure(2, 81)
			fleet.compacted = fleet.store.WriteUnrelated()
			if ends {
				fleet.run(1500 * time.Millisecond)
				fleet.readers()[0].dead = true
			}
			fleet.run(7500 * time.Millisecond)
			is.Equal(fleet.behind(), 0)
			is.True(fleet.calls()-before <= 24)
		})
	}
}
