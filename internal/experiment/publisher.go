package experiment

import (
	"fmt"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/placement"
)

// prepareTimeout is the maximum time to wait until all live nodes have adopted a prepared version
// (docs/DESIGN.md, "Placement").
const prepareTimeout = 1500 * time.Millisecond

// backendWeight is the weight of every back end. All hosts of a scenario have the same capacity.
const backendWeight = 100

// service is one service and the publisher of its placements. The publisher implements
// docs/DESIGN.md. The scenario's Timings.Spread sets how far apart in time the nodes adopt a
// placement.
type service struct {
	run            *run
	spec           *Service
	index          int32
	firstHostIndex int32   // index of its first host in run.hosts
	members        []int32 // hosts that receive new flows
	document       *lb.Placement
	table          *placement.Table
	adopted        map[int32]lb.Version // newest version that each node adopted, by node index
	pending        []change             // changes that wait until the present one is committed
	preparing      bool                 // a change is prepared and not yet committed
	inForceMillis  []float64            // milliseconds from the request of each change to its commit at all live nodes
	cleanBuckets   map[uint16]bool      // buckets whose history is no longer needed
}

// change is one change to a placement, as an operator requests it.
type change struct {
	requested time.Duration
	apply     func()
}

// addService adds the service with the given index in the scenario, and its hosts.
func (run *run) addService(index int32) {
	spec := &run.scenario.Services[index]
	service := &service{run: run, spec: spec, index: index, firstHostIndex: int32(len(run.hosts)), adopted: make(map[int32]lb.Version)}
	run.services = append(run.services, service)
	for range spec.Hosts {
		service.members = append(service.members, service.addHost())
	}
}

// addHost adds a host to the run and returns its index. It does not make the host a member of the
// service.
func (service *service) addHost() int32 {
	run := service.run
	index := int32(len(run.hosts))
	number := 0
	for _, host := range run.hosts {
		if host.service == service.index {
			number++
		}
	}
	run.hosts = append(run.hosts, host{
		service:    service.index,
		number:     number,
		zone:       run.scenario.Zones[number%len(run.scenario.Zones)],
		flows:      make(map[int32]struct{}),
		slotFreeAt: make([]time.Duration, service.spec.Slots),
	})
	run.hostByAddress[hostAddress(int(index))] = index
	return index
}

// createPlacement creates the first placement, which is already committed.
func (service *service) createPlacement() error {
	document, err := placement.New(service.spec.Name, service.stamp(),
		placement.SetFrontends([]lb.Frontend{{Address: virtualAddress(int(service.index)), Protocol: lb.TCP}}),
		placement.SetOpensPerSecond(service.spec.OpensPerSecond),
		placement.Prepare(service.targets()),
		placement.Commit())
	if err != nil {
		return err
	}
	service.document = document
	service.table, err = placement.Compile(document)
	return err
}

// stamp returns the stamp of a write at the current virtual time.
func (service *service) stamp() placement.WriteStamp {
	return placement.WriteStamp{WriteID: fmt.Sprintf("write-%d", service.run.queue.Now())}
}

// targets returns the members of the service as targets of a placement.
func (service *service) targets() []placement.Target {
	targets := make([]placement.Target, 0, len(service.members))
	for _, host := range service.members {
		targets = append(targets, placement.Target{
			Name:   lb.BackendName(fmt.Sprintf("%s-%03d", service.spec.Name, service.run.hosts[host].number)),
			Host:   hostAddress(int(host)),
			Weight: backendWeight,
		})
	}
	return targets
}

// initialHost returns the host that the first placement selects for a flow.
func (run *run) initialHost(flowIndex int32) int32 {
	flow := &run.flows[flowIndex]
	table := run.services[flow.service].table
	backend, _ := table.Backend(table.Current(flow.key.ID().Bucket()))
	return run.hostByAddress[backend.Host]
}

// publish applies the changes to the placement and delivers the new version to all nodes. It
// returns false when the changes have no effect.
func (service *service) publish(changes ...placement.Change) bool {
	next, err := placement.Next(service.document, service.stamp(), changes...)
	if err != nil {
		panic(fmt.Sprintf("experiment: change the placement of service %s: %v", service.spec.Name, err))
	}
	if next.Version == service.document.Version {
		return false
	}
	service.document = next
	for index := range service.run.nodes {
		service.scheduleDelivery(int32(index), next)
	}
	return true
}

// scheduleDelivery schedules the delivery of a placement to a node, after a random lag.
func (service *service) scheduleDelivery(index int32, document *lb.Placement) {
	service.run.schedule(service.run.randomLag(), func() { service.run.deliverPlacement(index, document) })
}

// deliverPlacement passes a placement to a live node. A paused node adopts it when it resumes.
func (run *run) deliverPlacement(index int32, document *lb.Placement) {
	node := run.nodes[index]
	switch {
	case !node.alive:
	case node.pausedUntil > run.queue.Now():
		run.queue.Add(node.pausedUntil, event{kind: eventAction, action: func() { run.deliverPlacement(index, document) }})
	default:
		run.adoptPlacement(index, document)
	}
}

// adoptPlacement passes a placement to a node's balancer and records that the node has it.
func (run *run) adoptPlacement(index int32, document *lb.Placement) {
	service := run.serviceByName(document.Service)
	service.adopted[index] = max(service.adopted[index], document.Version)
	run.stepEvent.Placement = document
	run.step(index)
}

// serviceByName returns the service with the given name.
func (run *run) serviceByName(name lb.ServiceName) *service {
	for _, service := range run.services {
		if service.spec.Name == name {
			return service
		}
	}
	panic(fmt.Sprintf("experiment: no service %q", name))
}

// adoptedByAll reports whether all live nodes have adopted the version or a newer one.
func (service *service) adoptedByAll(version lb.Version) bool {
	for index, node := range service.run.nodes {
		if node.alive && service.adopted[int32(index)] < version {
			return false
		}
	}
	return true
}

// requestChange queues a change to the members of the service.
func (service *service) requestChange(apply func()) {
	service.pending = append(service.pending, change{requested: service.run.queue.Now(), apply: apply})
	service.startNextChange()
}

// startNextChange starts the next pending change: it prepares the change, and awaitPrepared commits
// it.
func (service *service) startNextChange() {
	if service.preparing || len(service.pending) == 0 {
		return
	}
	next := service.pending[0]
	service.pending = service.pending[1:]
	service.preparing = true
	next.apply()
	service.publish(placement.Prepare(service.targets()))
	service.awaitPrepared(next, service.run.queue.Now()+prepareTimeout)
}

// pollInterval is the interval at which the publisher checks whether all live nodes have adopted a
// version.
const pollInterval = 50 * time.Millisecond

// awaitPrepared commits the prepared version once all live nodes have adopted it, or at the
// deadline, and starts the next change.
func (service *service) awaitPrepared(change change, deadline time.Duration) {
	if !service.adoptedByAll(service.document.Version) && service.run.queue.Now() < deadline {
		service.run.schedule(pollInterval, func() { service.awaitPrepared(change, deadline) })
		return
	}
	service.publish(placement.Commit())
	service.preparing = false
	service.awaitCommitted(change, service.document.Version)
	service.startNextChange()
}

// awaitCommitted records how long the change took, once all live nodes have adopted its committed
// version, and schedules the removal of the generations before it.
func (service *service) awaitCommitted(change change, version lb.Version) {
	if !service.adoptedByAll(version) {
		service.run.schedule(pollInterval, func() { service.awaitCommitted(change, version) })
		return
	}
	elapsed := service.run.queue.Now() - change.requested
	service.inForceMillis = append(service.inForceMillis, float64(elapsed)/float64(time.Millisecond))
	service.run.schedule(service.run.scenario.Timings.IdleTimeout, func() { service.settle(version) })
}

// settle makes the newest generation that was already committed in the given version the oldest one
// of the placement.
func (service *service) settle(version lb.Version) {
	generation := lb.Version(0)
	for _, candidate := range service.document.Generations[:service.document.Current+1] {
		if candidate.Version <= version {
			generation = candidate.Version
		}
	}
	if generation == 0 || generation == service.document.Generations[0].Version {
		return
	}
	service.publish(placement.Settle(generation))
	service.cleanBuckets = nil
}

// handleClean handles a head's report of buckets whose history is no longer needed. All reports of
// one second are cleared together.
func (run *run) handleClean(clean message.Clean) {
	service := run.serviceByName(clean.Service)
	if clean.Version != service.document.Version || len(service.document.Generations) > 1 {
		return
	}
	if service.cleanBuckets == nil {
		service.cleanBuckets = make(map[uint16]bool)
		run.schedule(time.Second, service.clearHistory)
	}
	for _, bucket := range clean.Buckets {
		service.cleanBuckets[bucket] = true
	}
}

// clearHistory publishes a placement without the history of the reported buckets.
func (service *service) clearHistory() {
	buckets := make([]uint16, 0, len(service.cleanBuckets))
	for bucket := range service.cleanBuckets {
		buckets = append(buckets, bucket)
	}
	slices.Sort(buckets)
	service.cleanBuckets = nil
	if len(buckets) > 0 && len(service.document.Generations) == 1 {
		service.publish(placement.Clear(buckets))
	}
}

// adoptMembers passes the current membership to a node's balancer.
func (run *run) adoptMembers(index int32) {
	members := make([]core.Member, 0, len(run.nodes))
	for _, node := range run.nodes {
		if node.alive {
			members = append(members, core.Member{ID: node.id, Zone: node.zone, Leaving: node.leaving})
		}
	}
	run.nodes[index].membership = run.membershipVersion
	run.stepEvent.Members = members
	run.step(index)
}
