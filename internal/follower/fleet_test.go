package follower

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

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
	listed  int                   // how often it listed all entries
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
	listDelay  time.Duration // what a listing takes besides storeDelay
	deaf       *fleetNode    // hears only what it has asked for
	cut        lb.Zone       // its nodes reach no other zone, but the store
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
			node.core = New(fleet.settingsOf(node, seed).ScaledTo(limit))
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
	if effects.Read.Kind == ReadList {
		node.listed++
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
		if tooLong(item.sent) {
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

// tooLong tells whether the transport would drop a message.
func tooLong(sent message.Message) bool {
	told, found := sent.(message.ViewDelta)
	if !found || len(told.Delta.Backends) < 1000 {
		return false
	}
	_, err := message.Encode(nil, "n", told)
	return err != nil
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
	case waited < storeDelay, node.read.Kind == ReadList && waited < storeDelay+fleet.listDelay:
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
		result.Revision = fleet.store.WriteUnrelated()
	} else {
		result.Failure = FailureUnavailable
	}
	fleet.step(node, &Event{Published: &result})
}

// behind counts the living nodes without the store's last change.
func (fleet *fleet) behind() int {
	count := 0
	for _, node := range fleet.nodes {
		if !node.dead && node.core.Replica().MinCurrentRevision() < fleet.store.LastChange() {
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
	return calmWithin(t, zones, perZone, seed, defaultLimit)
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
