package core

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
)

// property is the name of a guarantee, as in docs/PROOFS.md.
type property string

const (
	oneBackend   property = "an opening reaches one back end"
	notRunTrue   property = "not run is true"
	flowStays    property = "a flow stays on its back end"
	ownService   property = "a packet goes to its own service"
	versionGrows property = "versions never go back"
)

// violation is one violation of a property.
type violation struct {
	property property
	detail   string
}

// testSettings returns the default settings with shorter times.
func testSettings(id lb.NodeID, zone lb.Zone) Settings {
	settings := DefaultSettings(id, zone)
	settings.OpeningHold = 6 * time.Second
	settings.IdleTimeout = 12 * time.Second
	settings.PinLifetime = 3 * time.Second
	return settings
}

// testNode is one core in the simulated network.
type testNode struct {
	core            *Core
	alive           bool
	receivesTraffic bool // the fabric sends packets to it
	leaving         bool
	paused          bool
	inMembership    bool // the other nodes consider it alive
	version         lb.Version
	effects         Effects
	// busyAt is when a leaving node last had something to hand over.
	busyAt time.Duration
}

// openingKey identifies one opening.
type openingKey struct {
	key lb.FlowKey
	id  uint32
}

// opening is the history of one opening.
type opening struct {
	host    string // the first back end that received it
	refused bool   // a refusal claimed that it has not run
}

// network simulates cores connected by an unreliable network, in virtual time.
type network struct {
	plan                plan
	disabled            disabledRules
	random              *rand.Rand
	now                 time.Duration
	queue               deliveries
	order               int
	nodes               []*testNode
	document            *lb.Placement
	history             []*lb.Placement
	hosts               map[string]bool // addresses of the service's back ends
	clients             map[lb.FlowKey]*clientFlow
	openings            map[openingKey]*opening
	violations          []violation
	membershipChangedAt time.Duration
	// interrupted is set once a node has died or paused.
	interrupted bool
	// dieAfterStop makes a node die as soon as the present planned stop ends.
	dieAfterStop bool
	// Counters: openings refused as not run, packets forwarded, flows established,
	// packets of open flows forwarded to another back end, and dropped packets.
	refusals, forwards, established, moved int
	drops                                  map[Reason]int
}

// delivery is an action scheduled at a time.
type delivery struct {
	at    time.Duration
	order int
	run   func()
}

type deliveries []delivery

func (queue deliveries) Len() int { return len(queue) }
func (queue deliveries) Less(i, j int) bool {
	if queue[i].at != queue[j].at {
		return queue[i].at < queue[j].at
	}
	return queue[i].order < queue[j].order
}
func (queue deliveries) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }
func (queue *deliveries) Push(item any) {
	*queue = append(*queue, item.(delivery))
}

func (queue *deliveries) Pop() any {
	old := *queue
	last := old[len(old)-1]
	*queue = old[:len(old)-1]
	return last
}

func (network *network) after(delay time.Duration, run func()) {
	network.order++
	heap.Push(&network.queue, delivery{network.now + delay, network.order, run})
}

func (network *network) randomMillis(low, high int) time.Duration {
	return time.Duration(low+network.random.IntN(high-low+1)) * time.Millisecond
}

// chance returns true with the given probability.
func (network *network) chance(percent int) bool { return network.random.IntN(100) < percent }

func (network *network) violate(violated property, format string, arguments ...any) {
	detail := fmt.Sprintf("%v: ", network.now) + fmt.Sprintf(format, arguments...)
	network.violations = append(network.violations, violation{violated, detail})
}

// send delivers over the unreliable network, which loses, delays and duplicates messages.
func (network *network) send(run func()) {
	copies := 1
	if network.chance(network.plan.Duplicate) {
		copies = 2
	}
	for range copies {
		if network.chance(network.plan.Loss) {
			continue
		}
		delay := network.randomMillis(1, 20)
		if network.chance(5) {
			delay = network.randomMillis(20, 900)
		}
		network.after(delay, run)
	}
}

// stepNode passes one event to a node and carries out its effects.
func (network *network) stepNode(node *testNode, event Event) {
	if !node.alive || node.paused {
		return
	}
	node.core.Step(network.now, &event, &node.effects)
	if service := node.core.services[testService]; service != nil {
		if service.table.Version() < node.version {
			network.violate(versionGrows, "%s from %d to %d", node.core.self.ID, node.version, service.table.Version())
		}
		node.version = service.table.Version()
	}
	for _, outgoing := range node.effects.Messages {
		from, to := node.core.self.ID, network.node(outgoing.To)
		peer := &PeerEvent{From: from, Message: outgoing.Message}
		if to != nil {
			network.send(func() { network.stepNode(to, Event{Peer: peer}) })
		}
	}
	if event.Packet != nil {
		network.applyDecision(node, *event.Packet, node.effects.Decision)
	}
}

func (network *network) node(id lb.NodeID) *testNode {
	for _, node := range network.nodes {
		if node.core.self.ID == id {
			return node
		}
	}
	return nil
}

// applyDecision carries out a decision and checks the properties.
func (network *network) applyDecision(node *testNode, packet Packet, decision Decision) {
	flow := openingKey{packet.Key, packet.OpeningID}
	isOpening := packet.Kind == PacketOpening
	switch decision.Action {
	case ActionDrop:
		network.drops[decision.Reason]++
	case ActionRelay:
		packet.Relay = decision.Relay
		if to := network.node(decision.Peer); to != nil {
			network.send(func() { network.stepNode(to, Event{Packet: &packet}) })
		}
	case ActionForward:
		network.forwards++
		host := decision.Host.String()
		if !network.hosts[host] {
			network.violate(ownService, "%s forwarded to %s", node.core.self.ID, host)
		}
		if isOpening {
			network.recordForwarding(flow, host)
		}
	case ActionRefuse:
		if isOpening && decision.Refusal.Verdict == lb.NotRun {
			network.recordRefusal(flow)
		}
	}
	if flow := network.clients[packet.Key]; flow != nil {
		flow.observe(packet, decision)
	}
}

func (network *network) opening(flow openingKey) *opening {
	if network.openings[flow] == nil {
		network.openings[flow] = &opening{}
	}
	return network.openings[flow]
}

// recordForwarding records that a back end received an opening, and checks notRunTrue and
// oneBackend.
func (network *network) recordForwarding(flow openingKey, host string) {
	seen := network.opening(flow)
	if seen.refused {
		network.violate(notRunTrue, "bucket %d: forwarded after refusal", flow.key.ID().Bucket())
	}
	if seen.host != "" && seen.host != host {
		network.violate(oneBackend, "bucket %d: %s and %s", flow.key.ID().Bucket(), seen.host, host)
	}
	if seen.host == "" {
		seen.host = host
	}
}

// recordRefusal records that an opening was refused as not run, and checks notRunTrue.
func (network *network) recordRefusal(flow openingKey) {
	network.refusals++
	seen := network.opening(flow)
	seen.refused = true
	if seen.host != "" {
		network.violate(notRunTrue, "bucket %d: refused after forwarding", flow.key.ID().Bucket())
	}
}

// publish delivers the document to each node after a random delay.
func (network *network) publish(document *lb.Placement) {
	network.document = document
	network.history = append(network.history, document)
	for _, backend := range document.Backends {
		network.hosts[backend.Host.String()] = true
	}
	for index, node := range network.nodes {
		delay := network.randomMillis(1, 300)
		if network.plan.LatePlacements && index == 0 {
			delay = network.randomMillis(3000, 15000)
		}
		network.after(delay, func() { network.stepNode(node, Event{Placement: document}) })
		if network.chance(30) { // a stale document arrives again
			stale := network.history[network.random.IntN(len(network.history))]
			network.after(delay+network.randomMillis(1, 2000), func() { network.stepNode(node, Event{Placement: stale}) })
		}
	}
}

// inForceEverywhere reports whether all live nodes have the newest document and have handed over
// the UDP flows that it moves.
func (network *network) inForceEverywhere() bool {
	for _, node := range network.nodes {
		if node.alive && (node.version < network.document.Version || !node.core.HandoverIdle()) {
			return false
		}
	}
	return true
}

// move publishes a move to the named back ends: prepare, commit, settle.
func (network *network) move(names string) {
	document, err := placement.Next(network.document, network.nextStamp(), placement.Prepare(testTargets(names)))
	if err != nil || document.Current == len(document.Generations)-1 {
		return
	}
	version := document.Version
	if network.plan.SkipPrepare {
		network.commit(document, version)
		return
	}
	network.publish(document)
	network.awaitPrepared(version, network.now+2*time.Second)
}

func (network *network) nextStamp() placement.WriteStamp {
	network.order++
	return placement.WriteStamp{WriteID: fmt.Sprint(network.order)}
}

// awaitPrepared commits as soon as the prepared document is in force everywhere, at the latest at
// the deadline.
func (network *network) awaitPrepared(version lb.Version, deadline time.Duration) {
	if !network.inForceEverywhere() && network.now < deadline {
		network.after(100*time.Millisecond, func() { network.awaitPrepared(version, deadline) })
		return
	}
	network.commit(network.document, version)
}

func (network *network) commit(prepared *lb.Placement, version lb.Version) {
	document, err := placement.Next(prepared, network.nextStamp(), placement.Commit())
	if err != nil {
		return
	}
	network.publish(document)
	wait := testSettings("", "").IdleTimeout + time.Second
	if network.plan.SettleEarly {
		wait = time.Second
	}
	network.after(wait, func() { network.settle(version) })
}

func (network *network) settle(version lb.Version) {
	document, err := placement.Next(network.document, network.nextStamp(), placement.Settle(version))
	if err == nil {
		network.publish(document)
	}
}

// publishMembers sends the membership to each node after a random delay.
func (network *network) publishMembers() {
	network.membershipChangedAt = network.now
	for _, node := range network.nodes {
		network.after(network.randomMillis(1, network.plan.ViewDelay), func() { network.stepNode(node, Event{Members: network.members()}) })
	}
}

func (network *network) members() []Member {
	var members []Member
	for _, node := range network.nodes {
		if node.inMembership {
			members = append(members, Member{ID: node.core.self.ID, Zone: node.core.self.Zone, Leaving: node.leaving})
		}
	}
	return members
}

// join adds a node that has the newest document.
func (network *network) join() {
	number := len(network.nodes)
	zone := lb.Zone(fmt.Sprint(number % 3))
	core := New(testSettings(lb.NodeID(fmt.Sprintf("node-%d", number)), zone))
	core.disabled = network.disabled
	node := &testNode{core: core, alive: true, inMembership: true, receivesTraffic: true}
	network.nodes = append(network.nodes, node)
	network.stepNode(node, Event{Members: network.members()})
	if network.document != nil {
		network.stepNode(node, Event{Placement: network.document})
	}
	network.ticks(node)
	network.publishMembers()
}

func (network *network) ticks(node *testNode) {
	if !node.alive {
		return
	}
	network.stepNode(node, Event{Tick: true})
	if node.leaving {
		network.endIfHandedOver(node)
	}
	network.after(500*time.Millisecond, func() { network.ticks(node) })
}

// endIfHandedOver removes a leaving node once it has had nothing to hand over for a while. By then,
// all other nodes have removed it from the chains.
func (network *network) endIfHandedOver(node *testNode) {
	if !node.effects.HandoverDone {
		node.busyAt = network.now
		return
	}
	node.receivesTraffic = false
	if network.now-node.busyAt >= 2*time.Second {
		network.removeNode(node)
	}
}

// removeNode ends a node. The other nodes learn of it at once.
func (network *network) removeNode(node *testNode) {
	if !node.alive {
		return
	}
	node.alive, node.inMembership, node.receivesTraffic = false, false, false
	network.publishMembers()
	if network.dieAfterStop {
		network.dieAfterStop = false
		network.die()
	}
}

// randomNode returns a random node that is neither dead, leaving nor paused.
func (network *network) randomNode() *testNode {
	var candidates []*testNode
	for _, node := range network.nodes {
		if node.alive && !node.leaving && !node.paused {
			candidates = append(candidates, node)
		}
	}
	return candidates[network.random.IntN(len(candidates))]
}

func (network *network) stop() {
	node := network.randomNode()
	node.leaving = true
	node.busyAt = network.now
	network.stepNode(node, Event{Leave: true})
	network.publishMembers()
}

// die ends a node without notice. The other nodes detect it a second later.
func (network *network) die() {
	network.interrupted = true
	node := network.randomNode()
	node.alive, node.receivesTraffic = false, false
	network.after(time.Second, func() {
		node.inMembership = false
		network.publishMembers()
	})
}

// pause suspends a node. Some time after it resumes, it receives the updates that it missed.
func (network *network) pause() {
	network.interrupted = true
	node := network.randomNode()
	node.paused = true
	network.after(1500*time.Millisecond, func() {
		node.inMembership = false
		network.publishMembers()
	})
	network.after(network.randomMillis(3000, 9000), func() { network.resume(node) })
}

func (network *network) resume(node *testNode) {
	node.paused = false
	network.after(network.randomMillis(100, 900), func() {
		network.stepNode(node, Event{Placement: network.document})
		network.stepNode(node, Event{Members: network.members()})
		network.stepNode(node, Event{Contact: ContactRegained})
		node.inMembership = true
		network.publishMembers()
	})
}

// runUntil runs all deliveries that are due until the end.
func (network *network) runUntil(end time.Duration) {
	for len(network.queue) > 0 {
		next := heap.Pop(&network.queue).(delivery)
		if next.at > end {
			return
		}
		network.now = next.at
		next.run()
	}
}

// sendToAnyNode sends a client's packet to a random balancer, like the fabric.
func (network *network) sendToAnyNode(packet Packet) {
	var candidates []*testNode
	for _, node := range network.nodes {
		if node.receivesTraffic {
			candidates = append(candidates, node)
		}
	}
	node := candidates[network.random.IntN(len(candidates))]
	network.send(func() { network.stepNode(node, Event{Packet: &packet}) })
}
