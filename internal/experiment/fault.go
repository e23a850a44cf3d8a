package experiment

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/sim"
)

// Delays of failure detection and of the fabric, which the platform's machine list configures.
const (
	// detectionDelay is the time until the first nodes detect the death of a node, or the start or
	// end of a partition.
	detectionDelay = 2 * time.Second
	// fabricUpdateDelay is how long the fabric continues to send packets to a balancer that died or
	// left.
	fabricUpdateDelay = time.Second
)

// scheduleFaults adds the scenario's faults and its random planned changes to the event queue.
func (run *run) scheduleFaults(seed uint64) {
	for _, fault := range run.scenario.Faults {
		run.queue.Add(fault.At, event{kind: eventAction, action: func() { run.inject(fault) }})
	}
	random := sim.NewRandom(seed + 4)
	for range run.scenario.RandomPlannedChanges {
		fault := run.randomPlannedChange(random.IntN, random.Float64())
		run.queue.Add(fault.At, event{kind: eventAction, action: func() { run.inject(fault) }})
	}
}

// randomPlannedChange draws one planned change at a random time in the first half of the run.
func (run *run) randomPlannedChange(intN func(int) int, timeFraction float64) Fault {
	kinds := []FaultKind{Drain, Undrain, Add, Relabel, Stop, Join}
	service := run.services[intN(len(run.services))]
	return Fault{
		At:      time.Duration(timeFraction * float64(run.scenario.Duration) / 2),
		Do:      kinds[intN(len(kinds))],
		Service: service.spec.Name,
		Target:  intN(max(service.spec.Hosts, len(run.nodes))),
		Zone:    run.scenario.Zones[intN(len(run.scenario.Zones))],
	}
}

// inject applies a fault.
func (run *run) inject(fault Fault) {
	switch fault.Do {
	case Drain:
		run.drain(fault)
	case Undrain:
		run.undrain(fault)
	case Add:
		service := run.serviceByName(fault.Service)
		service.requestChange(func() { service.members = append(service.members, service.addHost()) })
	case Relabel:
		run.relabel(fault)
	case Stop:
		run.stop(fault.Target)
	case Join:
		run.join(fault.Zone)
	case Kill:
		run.kill(fault.Target)
	case Freeze:
		run.freeze(fault)
	case CutZone:
		run.partitionZone(fault)
	}
}

// minMembers is the number of back ends of a service, and of running balancers, that faults always
// leave in place.
const minMembers = 2

// drain removes the target back end of the fault from its service.
func (run *run) drain(fault Fault) {
	service := run.serviceByName(fault.Service)
	if len(service.members) <= minMembers {
		return
	}
	host := service.members[fault.Target%len(service.members)]
	run.hosts[host].leaving = true
	run.hosts[host].drainRequestedAt = run.queue.Now()
	service.requestChange(func() { service.removeMember(host) })
}

// removeMember removes a host from the hosts that receive new flows.
func (service *service) removeMember(host int32) {
	service.members = slices.DeleteFunc(service.members, func(member int32) bool { return member == host })
}

// undrain returns the first leaving host of the service to its members.
func (run *run) undrain(fault Fault) {
	service := run.serviceByName(fault.Service)
	for index := range run.hosts {
		host := &run.hosts[index]
		if host.service == service.index && host.leaving {
			host.leaving = false
			service.requestChange(func() { service.members = append(service.members, int32(index)) })
			return
		}
	}
}

// relabel replaces one host of a service with a new one, in a single placement change.
func (run *run) relabel(fault Fault) {
	service := run.serviceByName(fault.Service)
	host := service.members[fault.Target%len(service.members)]
	run.hosts[host].leaving = true
	run.hosts[host].drainRequestedAt = run.queue.Now()
	service.requestChange(func() {
		service.removeMember(host)
		service.members = append(service.members, service.addHost())
	})
}

// selectLiveNode returns a running balancer that is not leaving, selected by target, or none when
// only minMembers of them are left.
func (run *run) selectLiveNode(target int) int32 {
	var live []int32
	for index, node := range run.nodes {
		if node.alive && !node.leaving {
			live = append(live, int32(index))
		}
	}
	if len(live) <= minMembers {
		return none
	}
	return live[target%len(live)]
}

// stop starts the planned stop of a balancer: the balancer announces that it is leaving, hands over
// its records and then exits.
func (run *run) stop(target int) {
	index := run.selectLiveNode(target)
	if index == none {
		return
	}
	run.nodes[index].leaving = true
	run.publishMembership(0)
	run.schedule(fabricUpdateDelay, func() { run.removeFromFabric(index) })
	run.stepEvent.Leave = true
	run.step(index)
}

// scheduleExit schedules the exit of a node whose handover is done, for the time when the fabric no
// longer sends packets to it.
func (run *run) scheduleExit(index int32) {
	node := run.nodes[index]
	run.schedule(fabricUpdateDelay+fabricDrainTime, func() {
		if node.alive {
			node.alive = false
			run.publishMembership(0)
		}
	})
}

// removeFromFabric removes a balancer from the targets of the fabric.
func (run *run) removeFromFabric(index int32) {
	run.fabric = slices.DeleteFunc(run.fabric, func(other int32) bool { return other == index })
}

// join starts a new balancer. The fabric starts to send packets to it after Timings.Spread, when
// all nodes have adopted the new membership.
func (run *run) join(zone lb.Zone) {
	if zone == "" {
		zone = run.scenario.Zones[0]
	}
	index := run.addNode(zone)
	run.removeFromFabric(index)
	run.startNode(index)
	run.publishMembership(0)
	run.schedule(run.scenario.Timings.Spread, func() { run.fabric = append(run.fabric, index) })
}

// kill ends a balancer without notice.
func (run *run) kill(target int) {
	index := run.selectLiveNode(target)
	if index == none {
		return
	}
	run.nodes[index].alive = false
	run.schedule(fabricUpdateDelay, func() { run.removeFromFabric(index) })
	run.publishMembership(detectionDelay)
}

// freeze pauses a balancer for the duration of the fault.
func (run *run) freeze(fault Fault) {
	if index := run.selectLiveNode(fault.Target); index != none {
		run.nodes[index].pausedUntil = run.queue.Now() + fault.For
	}
}

// partitionZone partitions a zone from all other zones for the duration of the fault. Nodes on each
// side detect the nodes of the other side as failed, after detectionDelay.
func (run *run) partitionZone(fault Fault) {
	run.setZonePartition(fault.Zone, true)
	run.schedule(fault.For, func() { run.setZonePartition(fault.Zone, false) })
}

// setZonePartition starts the partition of a zone from all other zones, or ends it if cut is false.
func (run *run) setZonePartition(zone lb.Zone, cut bool) {
	for _, other := range run.scenario.Zones {
		if other != zone {
			run.network.Cut(zone, other, cut)
		}
	}
	run.schedule(detectionDelay, func() { run.updatePartitionViews(zone, cut) })
}

// updatePartitionViews sets each node's membership to the members that the node can reach, or to
// all members if cut is false, after a random lag per node.
func (run *run) updatePartitionViews(zone lb.Zone, cut bool) {
	run.membershipVersion++
	for index := range run.nodes {
		run.schedule(run.randomLag(), func() {
			if !run.nodes[index].alive {
				return
			}
			if !cut {
				run.adoptMembers(int32(index))
				return
			}
			run.adoptPartitionMembers(int32(index), zone)
		})
	}
}

// adoptPartitionMembers sets a node's membership to the live nodes on its own side of the partition
// around zone.
func (run *run) adoptPartitionMembers(index int32, zone lb.Zone) {
	nodeInZone := run.nodes[index].zone == zone
	var members []core.Member
	for _, node := range run.nodes {
		if node.alive && (node.zone == zone) == nodeInZone {
			members = append(members, core.Member{ID: node.id, Zone: node.zone, Leaving: node.leaving})
		}
	}
	run.stepEvent.Members = members
	run.step(index)
}

// publishMembership starts a new version of the membership. Each node adopts it after the given
// delay plus a random lag.
func (run *run) publishMembership(after time.Duration) {
	run.membershipVersion++
	version := run.membershipVersion
	for index := range run.nodes {
		run.schedule(after+run.randomLag(), func() { run.deliverMembership(int32(index), version) })
	}
}

// deliverMembership lets a node adopt the current membership, unless the node already has this
// version or a newer one. A paused node adopts it when it resumes.
func (run *run) deliverMembership(index int32, version int) {
	node := run.nodes[index]
	switch {
	case !node.alive || node.membership >= version:
	case node.pausedUntil > run.queue.Now():
		run.queue.Add(node.pausedUntil, event{kind: eventAction, action: func() { run.deliverMembership(index, version) }})
	default:
		run.adoptMembers(index)
	}
}
