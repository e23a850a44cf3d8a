package follower

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/message"
)

// TestAgeIsDisseminated checks that nodes that do not read the store know the age of their views.
func TestAgeIsDisseminated(t *testing.T) {
	is := is.New(t)
	fleet := settledFleet(t, 1, 3, 1)
	for range 30 {
		fleet.run(100 * time.Millisecond)
		for _, node := range fleet.nodes {
			age, known := node.core.Age(fleet.now)
			is.True(known)
			is.True(age < node.core.settings.TakeoverAge)
		}
	}
	for _, node := range fleet.nodes {
		node.fault = faultUnresponsive
	}
	fleet.run(5 * time.Second)
	for _, node := range fleet.nodes {
		age, _ := node.core.Age(fleet.now)
		is.True(age > 4*time.Second)
	}
}

// TestMessagesPerNodeDoNotGrowWithTheZone checks that in a large zone, each node sends only a few
// messages, a change reaches all nodes, and only one node reads the store.
func TestMessagesPerNodeDoNotGrowWithTheZone(t *testing.T) {
	is := is.New(t)
	fleet := settledFleet(t, 2, 100, 1)
	before := fleet.calls()
	fleet.store.Configure(2, 81)
	fleet.run(500 * time.Millisecond)
	is.Equal(fleet.behind(), 0)
	fleet.run(10 * time.Second)
	is.True(fleet.calls()-before <= 10)
	for _, node := range fleet.nodes {
		for second, sent := range node.sent {
			if second > 3 { // after the start
				is.True(sent <= 5*8) // at most five rounds to TreeFanout children
			}
		}
	}
}

// TestWholeViewsAreBounded checks that a node that receives many requests for its whole view
// answers only a few of them per tick.
func TestWholeViewsAreBounded(t *testing.T) {
	is := is.New(t)
	fleet := settledFleet(t, 1, 2, 1)
	seed := fleet.nodes[0]
	var effects Effects
	answered := 0
	for requester := range 100 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(requester)}), 7946)
		request := &PeerMessage{From: "asker", Address: address, Message: message.ViewRequest{}}
		seed.core.Step(fleet.now, &Event{Message: request}, &effects)
		is.Equal(len(effects.Messages), 0)
	}
	seed.core.Step(fleet.now, &Event{}, &effects)
	for _, outgoing := range effects.Messages {
		if delta, found := outgoing.Message.(message.ViewDelta); found {
			is.Equal(delta.Delta.After, int64(0))
			answered += len(outgoing.To)
		}
	}
	is.Equal(answered, maxLargeAnswers)
}

// TestRepeatedWholeViewRequestIsIgnored checks that a node does not answer a repeated request while
// the first answer may be in transit, but answers it later.
func TestRepeatedWholeViewRequestIsIgnored(t *testing.T) {
	is := is.New(t)
	fleet := settledFleet(t, 1, 2, 1)
	seed := fleet.nodes[0]
	address := netip.MustParseAddrPort("10.9.0.1:7946")
	var effects Effects
	wholeViews := func() int {
		request := &PeerMessage{From: "asker", Address: address, Message: message.ViewRequest{}}
		seed.core.Step(fleet.now, &Event{Message: request}, &effects)
		seed.core.Step(fleet.now, &Event{}, &effects)
		count := 0
		for _, outgoing := range effects.Messages {
			if delta, found := outgoing.Message.(message.ViewDelta); found && delta.IsFullView() {
				count += len(outgoing.To)
			}
		}
		return count
	}
	is.Equal(wholeViews(), 1)
	fleet.now += largeAnswerInterval / 2
	is.Equal(wholeViews(), 0)
	fleet.now += largeAnswerInterval / 2
	is.Equal(wholeViews(), 1)
}

// TestNewNodeDoesNotVerifyOlderViews guards against a deletion that a node never learns of. A back
// end is deleted while the node cannot read the store. A peer that starts afterwards has never had
// the back end in its view. Its digests must not make the older view appear current.
func TestNewNodeDoesNotVerifyOlderViews(t *testing.T) {
	is := is.New(t)
	fleet := settledFleet(t, 1, 2, 1)
	outdated, started := fleet.nodes[0], fleet.nodes[1]
	outdated.fault = faultRefused
	started.dead = true
	fleet.announce()
	fleet.store.Remove("a")
	started.dead = false
	started.core = New(DefaultSettings(started.id, started.zone, 9))
	started.read = nil
	fleet.announce()
	fleet.run(inForceLimit)
	is.Equal(outdated.core.Replica().Revision(), fleet.store.Revision())
	is.True(outdated.core.Replica().Backends()[0].Deleted)
}
