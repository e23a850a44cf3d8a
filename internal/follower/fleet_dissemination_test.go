package follower

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/message"
)

// TestAgeIsTold: a node that does not read knows how old its view is.
func TestAgeIsTold(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 1, 3, 1)
	for range 30 {
		fleet.run(100 * time.Millisecond)
		for _, node := range fleet.nodes {
			age, known := node.core.Age(fleet.now)
			is.True(known)
			is.True(age < node.core.settings.TakeoverAge)
		}
	}
	for _, node := range fleet.nodes {
		node.fault = faultSilent
	}
	fleet.run(5 * time.Second)
	for _, node := range fleet.nodes {
		age, _ := node.core.Age(fleet.now)
		is.True(age > 4*time.Second)
	}
}

// TestTellingDoesNotGrowWithTheZone: however many nodes a zone has, each sends
// few messages, a change reaches all of them, and one node reads.
func TestTellingDoesNotGrowWithTheZone(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 2, 100, 1)
	before := fleet.calls()
	fleet.store.Configure(2, 81)
	fleet.run(500 * time.Millisecond)
	is.Equal(fleet.behind(), 0)
	fleet.run(10 * time.Second)
	is.True(fleet.calls()-before <= 10)
	for _, node := range fleet.nodes {
		for second, sent := range node.sent {
			if second > 3 { // the start is over
				is.True(sent <= 5*8) // at most five rounds of TreeWidth
			}
		}
	}
}

// TestWholeViewsAreBounded: a node that many ask for its whole view answers a
// few of them at a time.
func TestWholeViewsAreBounded(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 1, 2, 1)
	seed := fleet.nodes[0]
	var effects Effects
	answered := 0
	for asker := range 100 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(asker)}), 7946)
		want := &PeerMessage{From: "asker", Address: address, Message: message.ViewWant{}}
		seed.core.Step(fleet.now, &Event{Message: want}, &effects)
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

// TestWholeViewIsOnItsWay: a node that asks again before the answer can have
// come is not answered again; later it is.
func TestWholeViewIsOnItsWay(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 1, 2, 1)
	seed := fleet.nodes[0]
	address := netip.MustParseAddrPort("10.9.0.1:7946")
	var effects Effects
	wholes := func() int {
		want := &PeerMessage{From: "asker", Address: address, Message: message.ViewWant{}}
		seed.core.Step(fleet.now, &Event{Message: want}, &effects)
		seed.core.Step(fleet.now, &Event{}, &effects)
		count := 0
		for _, outgoing := range effects.Messages {
			if delta, found := outgoing.Message.(message.ViewDelta); found && delta.Whole() {
				count += len(outgoing.To)
			}
		}
		return count
	}
	is.Equal(wholes(), 1)
	fleet.now += largeAnswerInterval / 2
	is.Equal(wholes(), 0)
	fleet.now += largeAnswerInterval / 2
	is.Equal(wholes(), 1)
}

// TestNewNodeVouchesForNoOlderView: a back end goes while a node cannot read;
// a node that starts then, and never knew of it, does not hide that.
func TestNewNodeVouchesForNoOlderView(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 1, 2, 1)
	old, started := fleet.nodes[0], fleet.nodes[1]
	old.fault = faultRefused
	started.dead = true
	fleet.announce()
	fleet.store.Remove("a")
	started.dead = false
	started.core = New(DefaultSettings(started.id, started.zone, 9))
	started.read = nil
	fleet.announce()
	fleet.run(inForceLimit)
	is.Equal(old.core.Replica().Revision(), fleet.store.Revision())
	is.True(old.core.Replica().Backends()[0].Gone)
}
