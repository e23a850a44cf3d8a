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

// contactFixture is an engine with a simulated clock and one peer in each of two zones.
type contactFixture struct {
	t        *testing.T
	engine   *engine
	now      time.Duration
	requests map[lb.NodeID]message.Ping // the last digest request to each peer
}

var contactPeers = []member.Machine{
	{ID: "b", Zone: "zb", Control: netip.MustParseAddrPort("127.0.0.1:11"), Data: netip.MustParseAddrPort("127.0.0.1:12")},
	{ID: "c", Zone: "zc", Control: netip.MustParseAddrPort("127.0.0.1:21"), Data: netip.MustParseAddrPort("127.0.0.1:22")},
}

func newContactFixture(t *testing.T) *contactFixture {
	fixture := &contactFixture{t: t, engine: newTestEngine(t)}
	fixture.engine.clock = func() time.Duration { return fixture.now }
	fixture.engine.transmit = func(to netip.AddrPort, sent message.Message) {
		ping, isPing := sent.(message.Ping)
		for _, peer := range contactPeers {
			if isPing && peer.Control == to && ping.View == 0 { // pings of the membership have a view
				fixture.requests[peer.ID] = ping
			}
		}
	}
	fixture.requests = make(map[lb.NodeID]message.Ping)
	fixture.engine.runInput(func() {
		members := []member.Member{{Machine: member.Machine{ID: "a", Zone: "za"}}}
		for _, peer := range contactPeers {
			members = append(members, member.Member{Machine: peer})
		}
		fixture.engine.applyMembers(members)
	})
	return fixture
}

// pauseAndRequest advances the clock without any step, as a pause of the process does, and then
// sends digest requests to the peers.
func (fixture *contactFixture) pauseAndRequest() {
	fixture.now += time.Minute
	fixture.engine.runInput(func() {
		fixture.engine.coreStep(&core.Event{Tick: true})
		fixture.engine.requestDigests()
	})
}

// answer delivers a peer's answer to a digest request.
func (fixture *contactFixture) answer(peer lb.NodeID, request message.Ping, digest uint64) {
	fixture.engine.runInput(func() {
		fixture.engine.applyDigestAnswer(peer, &message.PingAck{Sequence: request.Sequence, Digest: digest})
	})
}

func TestViewIsVerifiedByPeersOfAllZones(t *testing.T) {
	is := is.New(t)
	fixture := newContactFixture(t)
	digest := fixture.engine.gossip.Digest()
	is.True(digest != 0)
	fixture.pauseAndRequest()
	is.True(fixture.engine.viewCheck.unverified)
	is.Equal(len(fixture.requests), 2)
	fixture.answer("b", fixture.requests["b"], digest+1) // the peer has other placements
	fixture.answer("c", fixture.requests["c"], digest)
	is.True(fixture.engine.viewCheck.unverified) // no peer of zone zb has confirmed the view
	fixture.answer("b", fixture.requests["b"], digest)
	is.True(!fixture.engine.viewCheck.unverified)
}

func TestAnswerToEarlierDigestRequestIsIgnored(t *testing.T) {
	is := is.New(t)
	fixture := newContactFixture(t)
	digest := fixture.engine.gossip.Digest()
	fixture.pauseAndRequest()
	early := fixture.requests["b"]
	fixture.answer("b", early, digest)
	fixture.answer("c", fixture.requests["c"], digest)
	is.True(!fixture.engine.viewCheck.unverified)
	fixture.pauseAndRequest()
	fixture.answer("c", fixture.requests["c"], digest)
	fixture.answer("b", early, digest)
	is.True(fixture.engine.viewCheck.unverified)
	fixture.answer("b", fixture.requests["b"], digest)
	is.True(!fixture.engine.viewCheck.unverified)
}
