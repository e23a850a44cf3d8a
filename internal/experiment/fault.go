package experiment

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/sim"
)

// Times of failure detection and of the platform's machine list.
const (
	// detectionTime is when the first node learns that another one died.
	detectionTime = 2 * time.Second
	// fabricLag is how long the fabric sends to a balancer that has died or left.
	fabricLag = time.Second
)

// scheduleFaults puts the scenario's faults, and its random planned changes, in the queue.
func (run *run) scheduleFaults(seed uint64) {
	for _, fault := range run.scenario.Faults {
		run.queue.Add(fault.At, event{kind: eventAction, action: func() { run.inject(fault) }})
	}
	random := sim.NewRandom(seed + 4)
	for range run.scenario.RandomPlanned {
		fault := run.randomPlanned(random.IntN, random.Float64())
		run.queue.Add(fault.At, event{kind: eventAction, action: func() { run.inject(fault) }})
	}
}

// randomPlanned draws one planned change, in the first half of the run.
func (run *run) randomPlanned(intN func(int) int, when float64) Fault {
	kinds := []FaultKind{Drain, Undrain, Add, Relabel, Stop, Join}
	service := run.services[intN(len(run.services))]
	return Fault{
		At:      time.Duration(when * float64(run.scenario.Duration) / 2),
		Do:      kinds[intN(len(kinds))],
		Service: service.spec.Name,
		Target:  intN(max(service.spec.Hosts, len(run.nodes))),
		Zone:    run.scenario.Zones[intN(len(run.scenario.Zones))],
	}
}

func (run *run) inject(fault Fault) {
	switch fault.Do {
	case Drain:
		run.drain(fault)
	case Undrain:
		run.undrain(fault)
	case Add:
		service := run.serviceOf(fault.Service)
		service.request(func() { service.members = append(service.members, service.addHost()) })
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
		run.cut(fault)
	}
}

// lastMembers is how many back ends a service always keeps.
const lastMembers = 2

func (run *run) drain(fault Fault) {
	service := run.serviceOf(fault.Service)
	if len(service.members) <= lastMembers {
		return
	}
	host := service.members[fault.Target%len(service.members)]
	run.hosts[host].leaving = true
	run.hosts[host].left = run.queue.Now()
	service.request(func() { service.remove(host) })
}

func (service *service) remove(host int32) {
	service.members = slices.DeleteFunc(service.members, func(member int32) bool { return member == host })
}

// undrain takes the first leaving host back.
func (run *run) undrain(fault Fault) {
	service := run.serviceOf(fault.Service)
	for index := range run.hosts {
		host := &run.hosts[index]
		if host.service == service.index && host.leaving {
			host.leaving = false
			service.request(func() { service.members = append(service.members, int32(index)) })
			return
		}
	}
}

// relabel lets one host leave and another one come, in one change.
func (run *run) relabel(fault Fault) {
	service := run.serviceOf(fault.Service)
	host := service.members[fault.Target%len(service.members)]
	run.hosts[host].leaving = true
	run.hosts[host].left = run.queue.Now()
	service.request(func() {
		service.remove(host)
		service.members = append(service.members, service.addHost())
	})
}

// live gives the target-th live balancer that is not leaving, or none when it is the last but one.
func (run *run) live(target int) int32 {
	var live []int32
	for index, node := range run.nodes {
		if node.alive && !node.leaving {
			live = append(live, int32(index))
		}
	}
	if len(live) <= lastMembers {
		return none
	}
	return live[target%len(live)]
}

// stop is a planned stop: announced, records handed over, then gone.
func (run *run) stop(target int) {
	index := run.live(target)
	if index == none {
		return
	}
	run.nodes[index].leaving = true
	run.membersChanged(0)
	run.act(fabricLag, func() { run.fabricForgets(index) })
	run.stepEvent.Leave = true
	run.step(index)
}

// leaveLater ends a node whose hand-over is done, once the fabric has stopped sending.
func (run *run) leaveLater(index int32) {
	node := run.nodes[index]
	run.act(fabricLag+fabricDrain, func() {
		if node.alive {
			node.alive = false
			run.membersChanged(0)
		}
	})
}

func (run *run) fabricForgets(index int32) {
	run.fabric = slices.DeleteFunc(run.fabric, func(other int32) bool { return other == index })
}

func (run *run) join(zone lb.Zone) {
	if zone == "" {
		zone = run.scenario.Zones[0]
	}
	index := run.addNode(zone)
	run.fabricForgets(index)
	run.startNode(index)
	run.membersChanged(0)
	run.act(run.scenario.Timings.Spread, func() { run.fabric = append(run.fabric, index) })
}

func (run *run) kill(target int) {
	index := run.live(target)
	if index == none {
		return
	}
	run.nodes[index].alive = false
	run.act(fabricLag, func() { run.fabricForgets(index) })
	run.membersChanged(detectionTime)
}

func (run *run) freeze(fault Fault) {
	if index := run.live(fault.Target); index != none {
		run.nodes[index].frozen = run.queue.Now() + fault.For
	}
}

// cut separates a zone from the others; its nodes learn of it as of deaths.
func (run *run) cut(fault Fault) {
	run.cutZone(fault.Zone, true)
	run.act(fault.For, func() { run.cutZone(fault.Zone, false) })
}

func (run *run) cutZone(zone lb.Zone, cut bool) {
	for _, other := range run.scenario.Zones {
		if other != zone {
			run.network.Cut(zone, other, cut)
		}
	}
	run.act(detectionTime, func() { run.viewsOfCut(zone, cut) })
}

// viewsOfCut gives every node the members that it can reach.
func (run *run) viewsOfCut(zone lb.Zone, cut bool) {
	run.membership++
	for index := range run.nodes {
		run.act(run.lag(), func() {
			if !run.nodes[index].alive {
				return
			}
			if !cut {
				run.adoptMembers(int32(index))
				return
			}
			run.adoptSide(int32(index), zone)
		})
	}
}

func (run *run) adoptSide(index int32, zone lb.Zone) {
	inside := run.nodes[index].zone == zone
	var members []core.Member
	for _, node := range run.nodes {
		if node.alive && (node.zone == zone) == inside {
			members = append(members, core.Member{ID: node.id, Zone: node.zone, Leaving: node.leaving})
		}
	}
	run.stepEvent.Members = members
	run.step(index)
}

// membersChanged lets every node learn of the membership in its own time.
func (run *run) membersChanged(after time.Duration) {
	run.membership++
	version := run.membership
	for index := range run.nodes {
		run.act(after+run.lag(), func() { run.learnMembers(int32(index), version) })
	}
}

func (run *run) learnMembers(index int32, version int) {
	node := run.nodes[index]
	switch {
	case !node.alive || node.view >= version:
	case node.frozen > run.queue.Now():
		run.queue.Add(node.frozen, event{kind: eventAction, action: func() { run.learnMembers(index, version) }})
	default:
		run.adoptMembers(index)
	}
}
