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

// storeFault is how the store fails for the reads of one node.
type storeFault string

const (
	faultNone         storeFault = ""
	faultUnresponsive storeFault = "unresponsive" // no answer before the timeout
	faultRefused      storeFault = "refused"
	faultThrottled    storeFault = "throttled"
)

// fleetNode is one simulated node.
type fleetNode struct {
	id      lb.NodeID
	zone    lb.Zone
	address netip.AddrPort
	phase   time.Duration // of its ticks
	core    *Core
	dead    bool
	// pausedUntil is the end of a pause of the process. Messages and answers wait in its sockets.
	pausedUntil time.Duration
	answered    *ReadResult // waits for the end of the pause
	fault       storeFault
	stalled     bool // the connection of the pending read is stalled; the next read opens a new one
	read        *Read
	readAt      time.Duration         // when the pending read was started
	calls       int                   // reads and writes, without reads that may be stale, which cost a tenth
	stale       int                   // reads that may be stale
	listed      int                   // listings of all entries
	sent        map[time.Duration]int // number of messages, by second
}

// delivery is a message in transit.
type delivery struct {
	at   time.Duration
	from *fleetNode
	to   netip.AddrPort
	sent message.Message
}

// fleet runs followers in virtual time against a model of the store.
type fleet struct {
	t               *testing.T
	store           *viewtest.Store
	compacted       int64          // the history up to this revision is compacted
	maxChanges      int            // an answer with more changes is too large; 0: there is no limit
	snapshot        *view.Snapshot // the last snapshot written to the store
	staleListing    *view.Listing  // the result of stale listings; nil: the present state
	nodes           []*fleetNode
	deliveries      []delivery
	listDelay       time.Duration // additional duration of a listing, besides storeDelay
	requestsOnly    *fleetNode    // receives only answers to its requests
	partitionedZone lb.Zone       // nodes of this zone reach the store, but no other zone
	now             time.Duration
}

// newFleet returns a fleet that has not started.
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

// settingsOf returns the settings of a node. The first node of the fleet is the seed of all others.
func (fleet *fleet) settingsOf(node *fleetNode, seed uint64) Settings {
	settings := DefaultSettings(node.id, node.zone, seed)
	settings.IsSeed = node == fleet.nodes[0]
	if !settings.IsSeed {
		settings.Seeds = []netip.AddrPort{fleet.nodes[0].address}
	}
	return settings
}

// announce passes the live nodes to every node, as the membership does.
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

// step passes an event to a node and processes its effects.
func (fleet *fleet) step(node *fleetNode, event *Event) {
	if node.dead || fleet.now < node.pausedUntil {
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
		fleet.t.Fatalf("%s starts a read while another one is pending", node.id)
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

// run advances the virtual time.
func (fleet *fleet) run(duration time.Duration) {
	for end := fleet.now + duration; fleet.now < end; {
		fleet.now += simulationStep
		fleet.deliver()
		for _, node := range fleet.nodes {
			fleet.answer(node)
			if fleet.now < node.pausedUntil {
				continue
			}
			if (fleet.now+node.phase)%TickInterval == 0 {
				fleet.step(node, &Event{})
			}
		}
	}
}

// deliver delivers the messages that are due.
func (fleet *fleet) deliver() {
	var later []delivery
	due := fleet.deliveries
	fleet.deliveries = nil
	for _, item := range due {
		if item.at > fleet.now {
			later = append(later, item)
			continue
		}
		if isTooLong(item.sent) {
			continue
		}
		if receiver := fleet.nodeAt(item.to); receiver != nil && fleet.now < receiver.pausedUntil {
			later = append(later, item)
			continue
		}
		for _, node := range fleet.nodes {
			separated := node.zone != item.from.zone && (node.zone == fleet.partitionedZone || item.from.zone == fleet.partitionedZone)
			if node.address == item.to && !separated && !(node == fleet.requestsOnly && routed(item.sent)) {
				fleet.step(node, &Event{Message: &PeerMessage{From: item.from.id, Address: item.from.address, Message: item.sent}})
			}
		}
	}
	fleet.deliveries = append(later, fleet.deliveries...)
}

// nodeAt returns the node with an address, or nil.
func (fleet *fleet) nodeAt(address netip.AddrPort) *fleetNode {
	for _, node := range fleet.nodes {
		if node.address == address {
			return node
		}
	}
	return nil
}

// isTooLong reports whether the transport would drop a message because of its size.
func isTooLong(sent message.Message) bool {
	delta, found := sent.(message.ViewDelta)
	if !found || len(delta.Delta.Backends) < 1000 {
		return false
	}
	_, err := message.Encode(nil, "n", delta)
	return err != nil
}

// routed reports whether a message is sent without a request, through a tree.
func routed(sent message.Message) bool {
	switch received := sent.(type) {
	case message.ViewDigest:
		return received.Route != (message.Route{})
	case message.ViewDelta:
		return received.Route != (message.Route{})
	}
	return false
}

// answer completes the pending read of a node if it is due.
func (fleet *fleet) answer(node *fleetNode) {
	if answered := node.answered; answered != nil && fleet.now >= node.pausedUntil {
		node.answered, node.read = nil, nil
		fleet.step(node, &Event{Read: answered})
	}
	if node.read == nil || node.dead || node.answered != nil {
		return
	}
	waited := fleet.now - node.readAt
	result := ReadResult{Read: *node.read}
	switch {
	case waited < storeDelay, node.read.Kind == ReadList && waited < storeDelay+fleet.listDelay:
		return
	case node.stalled:
		if waited < node.read.Timeout {
			return
		}
		node.stalled = false
		result.Failure = FailureLost
	case node.fault == faultRefused:
		result.Failure = FailureUnavailable
	case node.fault == faultThrottled:
		result.Failure = FailureThrottled
	case node.fault == faultUnresponsive:
		if waited < node.read.Timeout {
			return
		}
		result.Failure = FailureLost
	case node.read.Kind == ReadSnapshot && fleet.snapshot == nil:
		result.Failure = FailureMissing
	case node.read.Kind == ReadSnapshot:
		result.Snapshot = fleet.snapshot
	case node.read.Stale && fleet.staleListing != nil:
		listing := *fleet.staleListing
		result.Listing = &listing
	case node.read.Kind == ReadList:
		result.Listing = fleet.store.List()
	case node.read.After < fleet.compacted:
		result.Failure = FailureCompacted
	case fleet.maxChanges > 0 && len(fleet.store.Changes(node.read.After).Changes) > fleet.maxChanges:
		result.Failure = FailureTooLarge
	case fleet.store.Revision() > node.read.After || waited >= node.read.Wait:
		result.Changes = fleet.store.Changes(node.read.After)
	default:
		return
	}
	if fleet.now < node.pausedUntil {
		node.answered = &result
		return
	}
	node.read = nil
	fleet.step(node, &Event{Read: &result})
}

// publish completes the write of a snapshot immediately.
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

// behind counts the live nodes that lack the store's last change.
func (fleet *fleet) behind() int {
	count := 0
	for _, node := range fleet.nodes {
		if !node.dead && node.core.Replica().MinCurrentRevision() < fleet.store.LastChange() {
			count++
		}
	}
	return count
}

// calls returns the number of reads and writes of all nodes, without reads that may be stale.
func (fleet *fleet) calls() int {
	sum := 0
	for _, node := range fleet.nodes {
		sum += node.calls
	}
	return sum
}

// settledFleet returns a fleet that has started and settled.
func settledFleet(t *testing.T, zones, perZone int, seed uint64) *fleet {
	return settledFleetWithin(t, zones, perZone, seed, defaultLimit)
}

// settledFleetWithin returns a settled fleet with settings for a limit.
func settledFleetWithin(t *testing.T, zones, perZone int, seed uint64, limit time.Duration) *fleet {
	fleet := newFleet(t, zones, perZone, seed, limit)
	fleet.store.Configure(1, 80, 81)
	fleet.store.Put("a", lb.BackendActive)
	fleet.run(200 * time.Millisecond)
	fleet.announce()
	fleet.run(10 * time.Second)
	return fleet
}

// watchers returns the nodes that consider themselves the designated watcher, including dead ones.
func (fleet *fleet) watchers() []*fleetNode {
	var watchers []*fleetNode
	for _, node := range fleet.nodes {
		if node.core.IsWatcher() {
			watchers = append(watchers, node)
		}
	}
	return watchers
}
