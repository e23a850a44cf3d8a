package follower

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/view/viewtest"
)

// Times of the simulated fleet.
const (
	simulationStep = 10 * time.Millisecond
	messageDelay   = 10 * time.Millisecond
	storeDelay     = 20 * time.Millisecond
)

// storeFault is what the store does to the calls of one node.
type storeFault string

const (
	faultNone      storeFault = ""
	faultSilent    storeFault = "silent" // no answer before the timeout
	faultRefused   storeFault = "refused"
	faultThrottled storeFault = "throttled"
)

// fleetNode is one simulated node.
type fleetNode struct {
	id      lb.NodeID
	zone    lb.Zone
	address netip.AddrPort
	phase   time.Duration // of its ticks
	core    *Core
	dead    bool
	fault   storeFault
	stuck   bool // the connection of the call under way has fallen silent; the next call opens another
	read    *Read
	readAt  time.Duration // when read was started
	calls   int           // stale ones, which cost a tenth, apart
	stale   int
	sent    map[time.Duration]int // messages, by second
}

type delivery struct {
	at   time.Duration
	from *fleetNode
	to   netip.AddrPort
	sent message.Message
}

// fleet runs followers in virtual time against a modelled store.
type fleet struct {
	t          *testing.T
	store      *viewtest.Store
	compacted  int64          // history up to here is gone
	snapshot   *view.Snapshot // that was left in the store
	older      *view.Listing  // what stale listings give; nil: the present state
	nodes      []*fleetNode
	deliveries []delivery
	deaf       *fleetNode // hears only what it has asked for
	cut        lb.Zone    // its nodes reach no other zone, but the store
	now        time.Duration
}

func newFleet(t *testing.T, zones, perZone int, seed uint64, limit time.Duration) *fleet {
	fleet := &fleet{t: t, store: viewtest.NewStore()}
	for zone := range zones {
		for index := range perZone {
			node := &fleetNode{
				id:      lb.NodeID(fmt.Sprintf("n-%d-%d", zone, index)),
				zone:    lb.Zone(fmt.Sprintf("zone-%d", zone)),
				sent:    map[time.Duration]int{},
				phase:   time.Duration(len(fleet.nodes)) * 3 * simulationStep,
				address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), 0, byte(index)}), 7946),
			}
			fleet.nodes = append(fleet.nodes, node)
			node.core = New(fleet.settingsOf(node, seed).Within(limit))
		}
	}
	return fleet
}

// settingsOf gives the settings of a node; the first one is the seed of the others.
func (fleet *fleet) settingsOf(node *fleetNode, seed uint64) Settings {
	settings := DefaultSettings(node.id, node.zone, seed)
	settings.IsSeed = node == fleet.nodes[0]
	if !settings.IsSeed {
		settings.Seeds = []netip.AddrPort{fleet.nodes[0].address}
	}
	return settings
}

// announce tells every node who is alive, as the membership does.
func (fleet *fleet) announce() {
	var peers []Peer
	for _, node := range fleet.nodes {
		if !node.dead {
			peers = append(peers, Peer{ID: node.id, Zone: node.zone, Control: node.address})
		}
	}
	for _, node := range fleet.nodes {
		fleet.step(node, &Event{Peers: peers})
	}
}

func (fleet *fleet) step(node *fleetNode, event *Event) {
	if node.dead {
		return
	}
	var effects Effects
	node.core.Step(fleet.now, event, &effects)
	for _, outgoing := range effects.Messages {
		node.sent[fleet.now/time.Second] += len(outgoing.To)
		for _, to := range outgoing.To {
			fleet.deliveries = append(fleet.deliveries, delivery{fleet.now + messageDelay, node, to, outgoing.Message})
		}
	}
	if effects.Publication != nil {
		node.calls++
		fleet.publish(node, effects.Publication)
	}
	if effects.Read == nil {
		return
	}
	if node.read != nil {
		fleet.t.Fatalf("%s has two calls at once", node.id)
	}
	node.read = effects.Read
	node.readAt = fleet.now
	if effects.Read.Stale {
		node.stale++
		return
	}
	node.calls++
}

// run lets the time pass.
func (fleet *fleet) run(duration time.Duration) {
	for end := fleet.now + duration; fleet.now < end; {
		fleet.now += simulationStep
		fleet.deliver()
		for _, node := range fleet.nodes {
			fleet.answer(node)
			if (fleet.now+node.phase)%TickInterval == 0 {
				fleet.step(node, &Event{})
			}
		}
	}
}

func (fleet *fleet) deliver() {
	var later []delivery
	due := fleet.deliveries
	fleet.deliveries = nil
	for _, item := range due {
		if item.at > fleet.now {
			later = append(later, item)
			continue
		}
		for _, node := range fleet.nodes {
			apart := node.zone != item.from.zone && (node.zone == fleet.cut || item.from.zone == fleet.cut)
			if node.address == item.to && !apart && !(node == fleet.deaf && routed(item.sent)) {
				fleet.step(node, &Event{Message: &PeerMessage{From: item.from.id, Address: item.from.address, Message: item.sent}})
			}
		}
	}
	fleet.deliveries = append(later, fleet.deliveries...)
}

// routed tells whether a message comes unasked, down a tree.
func routed(sent message.Message) bool {
	switch told := sent.(type) {
	case message.ViewDigest:
		return told.Route != (message.Route{})
	case message.ViewDelta:
		return told.Route != (message.Route{})
	}
	return false
}

// answer ends a node's call if its time has come.
func (fleet *fleet) answer(node *fleetNode) {
	if node.read == nil || node.dead {
		return
	}
	waited := fleet.now - node.readAt
	result := ReadResult{Read: *node.read}
	switch {
	case waited < storeDelay:
		return
	case node.stuck:
		if waited < node.read.Timeout {
			return
		}
		node.stuck = false
		result.Failure = FailureLost
	case node.fault == faultRefused:
		result.Failure = FailureUnavailable
	case node.fault == faultThrottled:
		result.Failure = FailureThrottled
	case node.fault == faultSilent:
		if waited < node.read.Timeout {
			return
		}
		result.Failure = FailureLost
	case node.read.Kind == ReadSnapshot && fleet.snapshot == nil:
		result.Failure = FailureMissing
	case node.read.Kind == ReadSnapshot:
		result.Snapshot = fleet.snapshot
	case node.read.Stale && fleet.older != nil:
		older := *fleet.older
		result.Listing = &older
	case node.read.Kind == ReadList:
		result.Listing = fleet.store.List()
	case node.read.After < fleet.compacted:
		result.Failure = FailureCompacted
	case fleet.store.Revision() > node.read.After || waited >= node.read.Wait:
		result.Changes = fleet.store.Changes(node.read.After)
	default:
		return
	}
	node.read = nil
	fleet.step(node, &Event{Read: &result})
}

// publish ends the writing of a snapshot at once.
func (fleet *fleet) publish(node *fleetNode, publication *Publication) {
	result := PublishResult{Publication: *publication}
	if node.fault == faultNone {
		fleet.snapshot = publication.Snapshot
		result.Revision = fleet.store.Touch()
	} else {
		result.Failure = FailureUnavailable
	}
	fleet.step(node, &Event{Published: &result})
}

// behind counts the living nodes without the store's last change.
func (fleet *fleet) behind() int {
	count := 0
	for _, node := range fleet.nodes {
		if !node.dead && node.core.Replica().LastNews() < fleet.store.LastChange() {
			count++
		}
	}
	return count
}

func (fleet *fleet) calls() int {
	sum := 0
	for _, node := range fleet.nodes {
		sum += node.calls
	}
	return sum
}

// calm gives a fleet that has started and settled.
func calm(t *testing.T, zones, perZone int, seed uint64) *fleet {
	return calmWithin(t, zones, perZone, seed, usualLimit)
}

// calmWithin is calm with settings for a limit.
func calmWithin(t *testing.T, zones, perZone int, seed uint64, limit time.Duration) *fleet {
	fleet := newFleet(t, zones, perZone, seed, limit)
	fleet.store.Configure(1, 80, 81)
	fleet.store.Put("a", lb.BackendActive)
	fleet.run(200 * time.Millisecond)
	fleet.announce()
	fleet.run(10 * time.Second)
	return fleet
}

func (fleet *fleet) readers() []*fleetNode {
	var readers []*fleetNode
	for _, node := range fleet.nodes {
		if node.core.Reads() {
			readers = append(readers, node)
		}
	}
	return readers
}

func TestOneNodeOfTheFleetReads(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 3, 4, 1)
	is.Equal(fleet.behind(), 0)
	is.Equal(len(fleet.readers()), 1)
	before := fleet.calls()
	fleet.run(15 * time.Second)
	is.True(fleet.calls()-before <= 12) // a watch of 1.4 s, nothing else
}

func TestChangesInQuickSuccessionCostFewCalls(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 1, 4, 1)
	before := fleet.calls()
	for version := range uint64(40) {
		fleet.store.Configure(version+2, 80)
		fleet.run(50 * time.Millisecond)
	}
	is.True(fleet.calls()-before <= 13) // 40 changes in 2 s
	fleet.run(time.Second)
	is.Equal(fleet.behind(), 0)
}

// inForceLimit is the time in which a change must be in force everywhere, with
// some room below the bound of 3 s that users ask for.
const inForceLimit = 2600 * time.Millisecond

// TestChangeIsInForceWhateverFailsWithIt has the readers, or any other nodes,
// fail at the moment of a change in every way, at every phase of their watch.
func TestChangeIsInForceWhateverFailsWithIt(t *testing.T) {
	for _, limit := range []time.Duration{usualLimit, time.Second, longestLimit} {
		for seed := range uint64(60) {
			fleet := changeWithFailures(t, seed, limit)
			allowed := time.Duration(float64(inForceLimit) * limit.Seconds() / usualLimit.Seconds())
			fleet.run(allowed)
			if behind := fleet.behind(); behind > 0 {
				t.Errorf("limit %s, seed %d: %d of %d nodes are behind after %s", limit, seed, behind, len(fleet.nodes), allowed)
			}
		}
	}
}

// changeWithFailures gives a fleet in which some nodes fail as a change is written.
func changeWithFailures(t *testing.T, seed uint64, limit time.Duration) *fleet {
	faults := []storeFault{faultSilent, faultRefused, faultThrottled}
	random := rand.New(rand.NewPCG(seed, 2))
	fleet := calmWithin(t, 1+int(seed%3), 2+random.IntN(4), seed, limit)
	fleet.run(time.Duration(random.IntN(200)) * simulationStep)
	hit := fleet.readers()
	if random.IntN(3) == 0 {
		hit = append(hit, fleet.nodes[random.IntN(len(fleet.nodes))])
	}
	alive := len(fleet.nodes)
	for _, node := range hit {
		if random.IntN(2) == 0 {
			node.fault = faults[random.IntN(len(faults))]
		} else if !node.dead && alive > 1 {
			node.dead = true
			alive--
		}
	}
	fleet.store.Configure(2, 81)
	return fleet
}

func TestNodesWithoutTheStoreLearnFromOthers(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 2, 3, 1)
	for _, node := range fleet.nodes {
		if node.zone == "zone-1" {
			node.fault = faultRefused // the whole zone
		}
	}
	fleet.run(5 * time.Second)
	fleet.store.Configure(2, 81)
	fleet.run(inForceLimit)
	is.Equal(fleet.behind(), 0)
}

func TestNodeStartsFromPeersWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 1, 3, 1)
	for _, node := range fleet.nodes {
		node.fault = faultSilent
	}
	restarted := fleet.nodes[2]
	settings := DefaultSettings(restarted.id, restarted.zone, 9)
	settings.Seeds = []netip.AddrPort{fleet.nodes[0].address}
	restarted.core = New(settings)
	restarted.read = nil
	fleet.run(500 * time.Millisecond)
	is.True(restarted.core.Replica().Configured())
	is.Equal(fleet.behind(), 0)
}

func TestOutageCostsFewCallsAndEndsQuickly(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 3, 3, 1)
	for _, node := range fleet.nodes {
		node.fault = faultRefused
	}
	before := fleet.calls()
	fleet.run(10 * time.Second)
	is.True(fleet.calls()-before <= 9*14) // about one a second for each node
	fleet.store.Configure(2, 81)
	for _, node := range fleet.nodes {
		node.fault = faultNone
	}
	fleet.run(2 * time.Second)
	is.Equal(fleet.behind(), 0)
}

func TestLostHistoryIsListedAgain(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 2, 2, 1)
	reader := fleet.readers()[0]
	reader.fault = faultSilent
	fleet.store.Configure(2, 81)
	fleet.store.Remove("a")
	fleet.compacted = fleet.store.Revision()
	fleet.run(200 * time.Millisecond)
	reader.fault = faultNone
	fleet.run(3 * time.Second)
	is.Equal(fleet.behind(), 0)
	for _, node := range fleet.nodes {
		is.True(node.core.Replica().Backends()[0].Gone)
	}
}

// TestAgeIsTold: a node that does not read knows how old its view is.
func TestAgeIsTold(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 1, 3, 1)
	for range 30 {
		fleet.run(100 * time.Millisecond)
		for _, node := range fleet.nodes {
			age, known := node.core.Age(fleet.now)
			is.True(known)
			is.True(age < node.core.settings.Patience)
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

// TestStartOfAFleetCostsFewCalls: each node lists once, and one of them goes on reading before the others lose patience.
func TestStartOfAFleetCostsFewCalls(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 3, 20, 1)   // 10 s
	is.True(fleet.calls() <= 14) // listings apart, which may be stale
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
	is.Equal(answered, wholeAnswers)
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
	fleet.now += wholeInterval / 2
	is.Equal(wholes(), 0)
	fleet.now += wholeInterval / 2
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
