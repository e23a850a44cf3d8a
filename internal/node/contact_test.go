package node

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/member"
	"robinpulley.example/robinpulley/internal/message"
)

// contactWorld is an engine with fake time and one peer in each of two zones.
type contactWorld struct {
	t      *testing.T
	engine *engine
	now    time.Duration
	asked  map[lb.NodeID]message.Ping // the last question to each peer
}

var contactPeers = []member.Machine{
	{ID: "b", Zone: "zb", Control: netip.MustParseAddrPort("127.0.0.1:11"), Data: netip.MustParseAddrPort("127.0.0.1:12")},
	{ID: "c", Zone: "zc", Control: netip.MustParseAddrPort("127.0.0.1:21"), Data: netip.MustParseAddrPort("127.0.0.1:22")},
}

func newContactWorld(t *testing.T) *contactWorld {
	world := &contactWorld{t: t, engine: newTestEngine(t)}
	world.engine.clock = func() time.Duration { return world.now }
	world.engine.transmit = func(to netip.AddrPort, sent message.Message) {
		ping, isPing := sent.(message.Ping)
		for _, peer := range contactPeers {
			if isPing && peer.Control == to && ping.View == 0 { // the membership's have a view
				world.asked[peer.ID] = ping
			}
		}
	}
	world.asked = make(map[lb.NodeID]message.Ping)
	world.engine.input(func() {
		members := []member.Member{{Machine: member.Machine{ID: "a", Zone: "za"}}}
		for _, peer := range contactPeers {
			members = append(members, member.Member{Machine: peer})
		}
		world.engine.takeMembers(members)
	})
	return world
}

// pause lets time pass without any step, and then asks the peers.
func (world *contactWorld) pause() {
	world.now += time.Minute
	world.engine.input(func() {
		world.engine.coreStep(&core.Event{Tick: true})
		world.engine.askPeers()
	})
}

// answer has a peer answer a question with the digest given.
func (world *contactWorld) answer(peer lb.NodeID, question message.Ping, digest uint64) {
	world.engine.input(func() {
		world.engine.takeAnswer(peer, &message.PingAck{Sequence: question.Sequence, Digest: digest})
	})
}

func TestContactIsRegainedFromAllZones(t *testing.T) {
	is := is.New(t)
	world := newContactWorld(t)
	digest := world.engine.gossip.Digest()
	is.True(digest != 0)
	world.pause()
	is.True(world.engine.check.unsure)
	is.Equal(len(world.asked), 2)
	world.answer("b", world.asked["b"], digest+1) // has other placements
	world.answer("c", world.asked["c"], digest)
	is.True(world.engine.check.unsure) // zone zb has not agreed
	world.answer("b", world.asked["b"], digest)
	is.True(!world.engine.check.unsure)
}

func TestAnswerToEarlierQuestionDoesNotCount(t *testing.T) {
	is := is.New(t)
	world := newContactWorld(t)
	digest := world.engine.gossip.Digest()
	world.pause()
	early := world.asked["b"]
	world.answer("b", early, digest)
	world.answer("c", world.asked["c"], digest)
	is.True(!world.engine.check.unsure)
	world.pause()
	world.answer("c", world.asked["c"], digest)
	world.answer("b", early, digest)
	is.True(world.engine.check.unsure)
	world.answer("b", world.asked["b"], digest)
	is.True(!world.engine.check.unsure)
}
