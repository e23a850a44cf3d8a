package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/gossip"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/placement"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// convergedFleet returns a fleet in which all nodes have the documents.
func convergedFleet(t testing.TB, size, zones int, documents ...*lb.Placement) *fleet {
	fleet := newFleet(t, size, zones, nil)
	fleet.publish(fleet.nodes[0], documents...)
	_, ok := fleet.runUntil(60*time.Second, func() bool {
		for _, node := range fleet.nodes {
			if !node.synced {
				return false
			}
		}
		return fleet.allNodesHave(documents...)
	})
	if !ok {
		t.Fatal("the documents have not reached all nodes")
	}
	fleet.runFor(10 * time.Second)
	return fleet
}

// reporters returns the running reporters of all zones.
func (fleet *fleet) reporters() []*node {
	var candidates []rendezvous.Candidate
	for _, member := range fleet.members() {
		candidates = append(candidates, rendezvous.Candidate{ID: member.ID, Zone: member.Zone, Hash: member.ID.Hash()})
	}
	var reporters []*node
	for _, watcher := range rendezvous.Watchers(candidates) {
		reporters = append(reporters, fleet.byID[watcher.ID])
	}
	return reporters
}

// acknowledged reports whether every reporter has a statement from every zone that the document is
// in force.
func (fleet *fleet) acknowledged(document *lb.Placement, zones int) bool {
	want := message.ServiceVersion{Service: document.Service, Version: document.Version}
	for _, reporter := range fleet.reporters() {
		confirmations := 0
		for _, statement := range reporter.inForce {
			for _, version := range statement.Versions {
				if version == want {
					confirmations++
				}
			}
		}
		if confirmations < zones {
			return false
		}
	}
	return true
}

// countEarlyAcknowledgements publishes changes and waits until all nodes have each of them and all
// publishers have received the acknowledgement. It returns the number of changes that were
// acknowledged before all nodes had them.
func countEarlyAcknowledgements(t *testing.T, change func(*gossip.Core)) int {
	is := is.New(t)
	document := newDocument(t, 1)
	fleet := convergedFleet(t, 24, 3, document)
	for _, node := range fleet.nodes {
		change(node.core)
	}
	early := 0
	for range 5 {
		document = nextDocument(t, document)
		fleet.publish(fleet.nodes[7], document)
		before := false
		took, ok := fleet.runUntil(5*time.Second, func() bool {
			before = before || (fleet.acknowledged(document, 3) && !fleet.allNodesHave(document))
			return fleet.allNodesHave(document)
		})
		is.True(ok)
		more, ok := fleet.runUntil(5*time.Second, func() bool { return fleet.acknowledged(document, 3) })
		is.True(ok)
		t.Logf("on all nodes after %s, acknowledged %s later", took, more)
		if before {
			early++
		}
	}
	return early
}

// TestChangeIsOnAllNodesBeforeItIsAcknowledged also checks that a mutant that accepts a majority of
// nodes acknowledges too early.
func TestChangeIsOnAllNodesBeforeItIsAcknowledged(t *testing.T) {
	is := is.New(t)
	is.Equal(countEarlyAcknowledgements(t, func(*gossip.Core) {}), 0)
	is.True(countEarlyAcknowledgements(t, (*gossip.Core).AcceptMajority) > 0) // with the rule disabled
}

func TestChangeIsAcknowledgedWithOneReporterDown(t *testing.T) {
	is := is.New(t)
	document := newDocument(t, 1)
	fleet := convergedFleet(t, 24, 3, document)
	fleet.kill(fleet.reporters()[0])
	document = nextDocument(t, document)
	fleet.publish(fleet.reporters()[1], document)
	_, ok := fleet.runUntil(10*time.Second, func() bool { return fleet.acknowledged(document, 3) })
	is.True(ok)
}

func TestUnresponsiveNodeDelaysAcknowledgement(t *testing.T) {
	is := is.New(t)
	document := newDocument(t, 1)
	fleet := convergedFleet(t, 24, 3, document)
	unresponsive := fleet.nodes[13]
	unresponsive.down = true // the other members still consider it alive
	document = nextDocument(t, document)
	fleet.publish(fleet.nodes[0], document)
	_, ok := fleet.runUntil(20*time.Second, func() bool { return fleet.acknowledged(document, 3) })
	is.True(!ok)
	fleet.updateMembers()
	last := nextDocument(t, document)
	fleet.publish(fleet.nodes[0], last)
	_, ok = fleet.runUntil(10*time.Second, func() bool { return fleet.acknowledged(last, 3) })
	is.True(ok)
}

func TestConfigRevisionIsInForceOnlyWhenAllNodesHaveIt(t *testing.T) {
	is := is.New(t)
	document := newDocument(t, 1)
	fleet := convergedFleet(t, 24, 3, document)
	inForce := func(revision int64) bool {
		for _, reporter := range fleet.reporters() {
			for _, statement := range reporter.inForce {
				if statement.ConfigRevision != revision {
					return false
				}
			}
		}
		return true
	}
	for revision := range int64(4) {
		next := nextDocument(t, document)
		for _, reporter := range fleet.reporters() { // each reporter watches the store
			fleet.publish(reporter, next)
			fleet.step(reporter, &gossip.Event{ConfigRevision: revision + 10})
		}
		_, ok := fleet.runUntil(5*time.Second, func() bool {
			for _, reporter := range fleet.reporters() {
				for _, statement := range reporter.inForce {
					is.True(statement.ConfigRevision < revision+10 || fleet.zoneHas(statement.Zone, next))
				}
			}
			return inForce(revision + 10)
		})
		is.True(ok)
		document = next
	}
	fleet.runFor(3 * time.Second) // until Behind is zero in all statements
	for _, reporter := range fleet.reporters() {
		for _, statement := range reporter.inForce {
			is.Equal(statement.Behind, 0)
			is.Equal(statement.Nodes, 8)
		}
	}
}

func (fleet *fleet) zoneHas(zone lb.Zone, document *lb.Placement) bool {
	for _, node := range fleet.nodes {
		if node.zone == zone && !node.down && node.highest[document.Service] < document.Version {
			return false
		}
	}
	return true
}

func TestStartingNodeLoadsFromPeers(t *testing.T) {
	is := is.New(t)
	var documents []*lb.Placement
	for service := range 80 {
		documents = append(documents, newDocument(t, service))
	}
	fleet := convergedFleet(t, 12, 3, documents...)
	starting := fleet.nodes[4]
	fleet.start(starting)
	took, ok := fleet.runUntil(60*time.Second, func() bool { return starting.synced })
	is.True(ok)
	is.Equal(starting.core.Len(), len(documents))
	t.Logf("%d placements loaded after %s", len(documents), took)
}

func TestPartitionedZoneCatchesUp(t *testing.T) {
	is := is.New(t)
	first, second := newDocument(t, 1), newDocument(t, 2)
	fleet := convergedFleet(t, 24, 3, first, second)
	const isolated = lb.Zone("zone-1")
	for _, other := range []lb.Zone{"zone-0", "zone-2"} {
		fleet.network.Cut(isolated, other, true)
	}
	first = nextDocument(t, first)
	fleet.publish(fleet.nodes[0], first) // zone-0
	second = nextDocument(t, second)
	fleet.publish(fleet.nodes[1], second) // zone-1
	fleet.runFor(30 * time.Second)
	is.True(!fleet.allNodesHave(first))
	is.True(!fleet.allNodesHave(second))
	for _, other := range []lb.Zone{"zone-0", "zone-2"} {
		fleet.network.Cut(isolated, other, false)
	}
	took, ok := fleet.runUntil(20*time.Second, func() bool { return fleet.allNodesHave(first, second) })
	is.True(ok)
	t.Logf("both sides have both documents after %s", took)
}

func TestBurstIsAdoptedWithinTheBudget(t *testing.T) {
	is := is.New(t)
	var documents []*lb.Placement
	for service := range 30 {
		documents = append(documents, newDocument(t, service))
	}
	fleet := convergedFleet(t, 12, 3, newDocument(t, 1000))
	fleet.publish(fleet.nodes[3], documents...)
	took, ok := fleet.runUntil(120*time.Second, func() bool { return fleet.allNodesHave(documents...) })
	is.True(ok)
	t.Logf("%d simultaneous changes are on all nodes after %s", len(documents), took)
}

// countDowngrades passes an old document to each node from the store, from a peer and through
// anti-entropy, and returns the number of adoptions of a lower version.
func countDowngrades(t *testing.T, mutate func(*gossip.Core)) int {
	first := newDocument(t, 1)
	second := nextDocument(t, first)
	fleet := convergedFleet(t, 12, 3, second)
	downgrades := 0
	for _, node := range fleet.nodes {
		mutate(node.core)
		fleet.publish(node, first)
		fleet.step(node, &gossip.Event{Peer: &gossip.PeerEvent{
			From: fleet.nodes[1].id, Message: message.Placements{Placements: []lb.Placement{*first}},
		}})
	}
	fleet.runFor(10 * time.Second)
	for _, node := range fleet.nodes {
		downgrades += node.downgrades
	}
	return downgrades
}

// TestVersionsNeverDecrease also checks that a mutant that accepts lower versions adopts them.
func TestVersionsNeverDecrease(t *testing.T) {
	is := is.New(t)
	is.Equal(countDowngrades(t, func(*gossip.Core) {}), 0)
	is.True(countDowngrades(t, (*gossip.Core).AcceptLower) > 0) // with the rule disabled
}

// TestRacingVersionsConverge publishes versions in random order at random nodes.
func TestRacingVersionsConverge(t *testing.T) {
	is := is.New(t)
	document := newDocument(t, 1)
	fleet := convergedFleet(t, 24, 3, document)
	versions := []*lb.Placement{document}
	for range 60 {
		versions = append(versions, nextDocument(t, versions[len(versions)-1]))
	}
	for _, index := range fleet.random.Perm(len(versions)) {
		fleet.publish(fleet.nodes[fleet.random.IntN(24)], versions[index])
		fleet.runFor(50 * time.Millisecond)
	}
	last := versions[len(versions)-1]
	_, ok := fleet.runUntil(10*time.Second, func() bool { return fleet.allNodesHave(last) })
	is.True(ok)
	for _, node := range fleet.nodes {
		is.Equal(node.downgrades, 0)
	}
}

func TestInvalidDocumentIsRejected(t *testing.T) {
	is := is.New(t)
	document := newDocument(t, 1)
	fleet := convergedFleet(t, 6, 3, document)
	invalid := *nextDocument(t, document)
	invalid.Current = 99
	fleet.step(fleet.nodes[0], &gossip.Event{Peer: &gossip.PeerEvent{
		From: fleet.nodes[1].id, Message: message.Placements{Placements: []lb.Placement{invalid}},
	}})
	is.Equal(fleet.nodes[0].core.Counters().Invalid, uint64(1))
	is.Equal(fleet.nodes[0].core.Placement(document.Service).Version, document.Version)
}

func TestContactIsLostAndRegained(t *testing.T) {
	is := is.New(t)
	fleet := convergedFleet(t, 12, 3, newDocument(t, 1))
	node := fleet.nodes[1] // zone-1
	is.Equal(node.contacts, []gossip.ContactChange{gossip.ContactRegained})
	for _, zone := range []lb.Zone{"zone-0", "zone-1", "zone-2"} {
		fleet.network.Cut(node.zone, zone, true)
	}
	fleet.runFor(10 * time.Second)
	is.Equal(node.contacts[1:], []gossip.ContactChange{gossip.ContactLost})
	for _, zone := range []lb.Zone{"zone-0", "zone-1", "zone-2"} {
		fleet.network.Cut(node.zone, zone, false)
	}
	fleet.runFor(10 * time.Second)
	is.Equal(node.contacts[2:], []gossip.ContactChange{gossip.ContactRegained})
}

func TestSingleNodeAcknowledgesItsChanges(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 1, 1, nil)
	fleet.runFor(5 * time.Second)
	is.True(fleet.nodes[0].synced)
	is.Equal(fleet.nodes[0].contacts, []gossip.ContactChange{gossip.ContactRegained})
	document := newDocument(t, 1)
	fleet.publish(fleet.nodes[0], document)
	_, ok := fleet.runUntil(5*time.Second, func() bool { return fleet.acknowledged(document, 1) })
	is.True(ok) // the node is the only one of its zone
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	is := is.New(t)
	_, err := gossip.New(gossip.DefaultSettings("", "zone", 1))
	is.True(err != nil)
	settings := gossip.DefaultSettings("node", "zone", 1)
	settings.Fanout = 0
	_, err = gossip.New(settings)
	is.True(err != nil)
}

func TestReportsOfNonMembersAreIgnored(t *testing.T) {
	is := is.New(t)
	fleet := convergedFleet(t, 6, 3, newDocument(t, 1))
	node := fleet.nodes[0]
	report := message.InForce{Zone: "zone-2", Aggregated: true, Nodes: 1, ConfigRevision: 99}
	fleet.step(node, &gossip.Event{Peer: &gossip.PeerEvent{From: "node-9999", Message: report}})
	// The sender is a node of zone-1.
	fleet.step(node, &gossip.Event{Peer: &gossip.PeerEvent{From: fleet.nodes[1].id, Message: report}})
	is.Equal(len(node.effects.InForce), 0)
	is.Equal(node.core.Counters().NonMemberReports, uint64(2))
	is.True(fmt.Sprint(node.inForce["zone-2"].ConfigRevision) != "99")
}

// acknowledgedWithHandover publishes a prepared placement while one node is busy, or not, with
// handing over records. It reports whether the publishers consider the placement in force
// meanwhile, and whether they do after the node has finished.
func acknowledgedWithHandover(t *testing.T, id int, busy bool) (meanwhile, afterwards bool) {
	document := newDocument(t, 1)
	fleet := convergedFleet(t, 12, 3, document)
	node := fleet.nodes[id]
	node.core.SetHandoverBusy(busy)
	prepared, err := placement.Next(document, stamp(2), placement.Prepare(targets(2, 14)))
	if err != nil {
		t.Fatal(err)
	}
	fleet.publish(fleet.nodes[0], prepared)
	_, meanwhile = fleet.runUntil(10*time.Second, func() bool { return fleet.acknowledged(prepared, 3) })
	node.core.SetHandoverBusy(false)
	_, afterwards = fleet.runUntil(2*time.Second, func() bool { return fleet.acknowledged(prepared, 3) })
	return meanwhile, afterwards
}

// TestPreparedPlacementWaitsForHandover delays the handover at each node in turn, including
// reporters. Without the rule the placement is in force at once.
func TestPreparedPlacementWaitsForHandover(t *testing.T) {
	for id := range 12 {
		t.Run(fmt.Sprint(id), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			meanwhile, afterwards := acknowledgedWithHandover(t, id, true)
			is.True(!meanwhile)
			is.True(afterwards)
		})
	}
	t.Run("rule disabled", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		meanwhile, _ := acknowledgedWithHandover(t, 3, false)
		is.True(meanwhile)
	})
}

// TestAgreementWithOnePeerDoesNotHideAnother checks that a node compares placements with peers that
// differ even while another peer agrees. Otherwise two neighbours that lack the same placements
// agree with each other and never receive them: two nodes of a fleet of 48 lacked 12 placements
// permanently.
func TestAgreementWithOnePeerDoesNotHideAnother(t *testing.T) {
	is := is.New(t)
	core, err := gossip.New(gossip.DefaultSettings("self", "zone", 1))
	is.NoErr(err)
	var effects gossip.Effects
	core.Step(0, &gossip.Event{Members: []gossip.Member{{ID: "self", Zone: "zone"}, {ID: "same", Zone: "zone"}, {ID: "other", Zone: "zone"}}}, &effects)
	core.Step(0, &gossip.Event{Placements: []*lb.Placement{newDocument(t, 1)}}, &effects)
	exchanged := false
	for now := time.Second; now < 10*time.Second; now += time.Second {
		ping := func(from lb.NodeID, digest uint64) {
			core.Step(now, &gossip.Event{Peer: &gossip.PeerEvent{From: from, Message: message.Ping{Sequence: 1, Incarnation: 1, Digest: digest}}}, &effects)
			for _, outgoing := range effects.Messages {
				_, isDigest := outgoing.Message.(message.Digest)
				exchanged = exchanged || isDigest && outgoing.To == "other"
			}
		}
		ping("other", core.Digest()+1)
		ping("same", core.Digest())
	}
	is.True(exchanged)
}
