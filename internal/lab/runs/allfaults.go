package runs

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/cluster"
	"robinpulley.example/robinpulley/internal/lab/hostsim"
	"robinpulley.example/robinpulley/internal/lab/storesim"
	"robinpulley.example/robinpulley/internal/lb"
)

// Store faults of the runs.
var (
	storeOutage  = storesim.Faults{Outage: true}
	storeSlow    = storesim.Faults{DelayMillis: 300}
	storeLossy   = storesim.Faults{LostResponses: 300}
	storeHealthy = storesim.Faults{}
)

// impairedFabric are fabric flags that drop 1 % of the packets, duplicate 2 %, delay 5 % so that
// they arrive out of order, and add a different delay for each zone.
var impairedFabric = []string{
	"--loss=10", "--duplicate=20", "--reorder=50", "--reorder-us=5000",
	"--delay-us=zone-a=500,zone-b=1000,zone-c=1500",
}

// AllFaults returns all fault runs in the order in which RunFaults performs them.
func AllFaults() []Fault {
	return []Fault{
		{Name: "drain", Guarantee: "a drained back end gets no new flow after 3 s; no flow breaks", run: drainHost},
		{Name: "planned-stop", Guarantee: "planned stops break no flow", run: plannedStops},
		{Name: "join", Guarantee: "a joining balancer breaks no flow, also with the store down", run: joinWithoutStore},
		{Name: "store-outage", Guarantee: "flows go on; an accepted change is in force after the outage", run: outageDuringChange},
		{Name: "slow-store", Guarantee: "changes come in force with a slow store", run: changeWithSlowStore},
		{Name: "lost-answers", Guarantee: "changes come in force and stay with answers lost", run: changesWithLostResponses},
		{Name: "racing-operators", Guarantee: "one of racing changes wins, the others are told; none reverts", run: racingOperators},
		{
			Name: "rough-fabric", Guarantee: "drain and planned stop with loss, duplication, reordering and delay",
			FabricFlags: impairedFabric, run: changesOnImpairedFabric,
		},
		{Name: "false-alarm", Guarantee: "service goes on when every host looks unhealthy", ProbeHosts: true, run: failAllProbes},
		{Name: "host-freeze", Guarantee: "a frozen host is taken out and comes back", Unplanned: true, ProbeHosts: true, run: freezeHost},
		{Name: "kill", Guarantee: "a killed balancer leads to no double run and no false not-run", Unplanned: true, run: killBalancer},
		{Name: "kill-watchers", Guarantee: "a change is in force although a zone's watcher is killed", Unplanned: true, run: killWatcher},
		{Name: "freeze", Guarantee: "a balancer frozen during a change does not act on its old view", Unplanned: true, run: freezeDuringChange},
		{Name: "cut", Guarantee: "a cut zone keeps serving its flows", run: partitionZone},
		{Name: "cut-and-drain", Guarantee: "a drain while a zone is cut off", Unplanned: true, run: drainDuringPartition},
		{Name: "drain-and-kill", Guarantee: "a drain and a kill at once", Unplanned: true, run: drainAndKill},
		{Name: "kill-in-outage", Guarantee: "a kill while the store is down", Unplanned: true, run: killDuringOutage},
		{Name: "freeze-and-stop", Guarantee: "a planned stop while another balancer is frozen", Unplanned: true, run: stopWhileFrozen},
	}
}

// drainHost drains a host, checks that it receives no new flows, and restores it.
func drainHost(ctx context.Context, run *faultRun) error {
	if err := run.drainAndCheck(ctx, run.Hosts[0]); err != nil {
		return err
	}
	start := time.Now()
	revision, err := run.undrain(ctx, run.Hosts[0])
	if err != nil {
		return err
	}
	return run.awaitInForce(ctx, revision, start)
}

// plannedStops replaces the balancers one after the other: first the new balancer joins, then the
// old one stops.
func plannedStops(ctx context.Context, run *faultRun) error {
	for i := range run.options.PlannedStops {
		old := run.Balancers[i]
		joined, err := run.StartBalancer(ctx, fmt.Sprintf("%s-r%d", old.Zone, i+1), old.Zone)
		if err != nil {
			return err
		}
		if err := run.Register(ctx, joined); err != nil {
			return err
		}
		if err := run.StopPlanned(ctx, old); err != nil {
			return err
		}
	}
	run.addMeasurement("%d planned stops", run.options.PlannedStops)
	return nil
}

// joinWithoutStore starts a balancer while the store is down and checks that it becomes ready.
func joinWithoutStore(ctx context.Context, run *faultRun) error {
	if err := run.SetStoreFaults(ctx, storeOutage); err != nil {
		return err
	}
	joined, err := run.StartBalancer(ctx, "zone-a-new", "zone-a")
	if err != nil {
		return err
	}
	start := time.Now()
	if err := run.Register(ctx, joined); err != nil {
		return err
	}
	run.addMeasurement("ready %s after its start, with the store down", time.Since(start).Round(time.Millisecond))
	if err := run.awaitProgress(ctx); err != nil {
		return err
	}
	return run.SetStoreFaults(ctx, storeHealthy)
}

// outageDuringChange drains a host right before an outage of the store, and checks that the change
// is in force after the outage.
func outageDuringChange(ctx context.Context, run *faultRun) error {
	revision, err := run.drain(ctx, run.Hosts[0])
	if err != nil {
		return err
	}
	// The outage begins while the change is being disseminated.
	if err := run.SetStoreFaults(ctx, storeOutage); err != nil {
		return err
	}
	if err := run.awaitProgress(ctx); err != nil {
		return err
	}
	if err := run.SetStoreFaults(ctx, storeHealthy); err != nil {
		return err
	}
	if err := run.awaitInForce(ctx, revision, time.Now()); err != nil {
		return err
	}
	return run.checkPlacement(ctx, run.Hosts[0], lb.BackendDraining)
}

// changeWithSlowStore changes a host while the store responds slowly, after the store has dropped
// all watches.
func changeWithSlowStore(ctx context.Context, run *faultRun) error {
	slow := storeSlow
	slow.DropWatches = true
	if err := run.SetStoreFaults(ctx, slow); err != nil {
		return err
	}
	if err := run.drainAndRestore(ctx, run.Hosts[0]); err != nil {
		return err
	}
	if err := run.SetStoreFaults(ctx, storeHealthy); err != nil {
		return err
	}
	return run.checkPlacement(ctx, run.Hosts[0], lb.BackendActive)
}

// changesWithLostResponses changes two hosts while the store executes writes without responding to
// some of them.
func changesWithLostResponses(ctx context.Context, run *faultRun) error {
	if err := run.SetStoreFaults(ctx, storeLossy); err != nil {
		return err
	}
	for _, host := range run.Hosts[:2] {
		if err := run.drainAndRestore(ctx, host); err != nil {
			return err
		}
	}
	if err := run.SetStoreFaults(ctx, storeHealthy); err != nil {
		return err
	}
	return run.checkPlacement(ctx, run.Hosts[0], lb.BackendActive)
}

// lastBalancer returns the balancer that was started last.
func (run *faultRun) lastBalancer() *cluster.Balancer { return run.Balancers[len(run.Balancers)-1] }

// killBalancer kills a balancer and afterwards drains a host.
func killBalancer(ctx context.Context, run *faultRun) error {
	if err := run.Kill(ctx, run.lastBalancer(), machineListLag); err != nil {
		return err
	}
	return run.drainAndCheck(ctx, run.Hosts[0])
}

// killWatcher kills a balancer that watches the store right after a change.
func killWatcher(ctx context.Context, run *faultRun) error {
	for _, balancer := range run.Balancers {
		state, err := balancer.State(ctx)
		if err != nil {
			return err
		}
		if !state.Watcher {
			continue
		}
		start := time.Now()
		revision, err := run.drain(ctx, run.Hosts[0])
		if err != nil {
			return err
		}
		if err := run.Kill(ctx, balancer, 0); err != nil {
			return err
		}
		return run.awaitInForce(ctx, revision, start)
	}
	return errors.New("no balancer watches the store")
}

// freezeDuringChange suspends a balancer's process with packets in its sockets, drains a host, and
// resumes the process. The balancer must not forward new flows to the drained host by its old view.
func freezeDuringChange(ctx context.Context, run *faultRun) error {
	frozen := run.lastBalancer()
	if err := frozen.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	if err := run.drainAndCheck(ctx, run.Hosts[0]); err != nil {
		return err
	}
	if err := frozen.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	resumedAt := time.Now()
	if err := run.awaitProgress(ctx); err != nil {
		return err
	}
	if err := run.checkNoNewFlows(ctx, run.Hosts[0], resumedAt); err != nil {
		return err
	}
	return run.checkPlacement(ctx, run.Hosts[0], lb.BackendDraining)
}

// partitionZone partitions one zone from the others for a while.
func partitionZone(ctx context.Context, run *faultRun) error {
	return run.duringPartition(ctx, func() error { return run.awaitProgress(ctx) })
}

// drainDuringPartition drains a host while one zone is partitioned from the others.
func drainDuringPartition(ctx context.Context, run *faultRun) error {
	return run.duringPartition(ctx, func() error { return run.drainAndCheck(ctx, run.Hosts[0]) })
}

// duringPartition partitions the balancers of one zone from the others, in both directions, and
// waits until each side has declared the other dead. Then it calls the function, ends the
// partition, waits until both sides are members of each other again, and checks that a change comes
// in force.
func (run *faultRun) duringPartition(ctx context.Context, action func() error) error {
	const isolatedZone = lb.Zone("zone-c")
	for _, balancer := range run.Balancers {
		from := []lb.Zone{isolatedZone}
		if balancer.Zone == isolatedZone {
			from = otherZones(isolatedZone)
		}
		if err := balancer.Partition(ctx, from...); err != nil {
			return err
		}
	}
	err := run.awaitMembers(ctx, "each side has declared the other dead", func(zone, ownZone lb.Zone) bool {
		return (zone == isolatedZone) == (ownZone == isolatedZone)
	})
	if err != nil {
		return err
	}
	if err := action(); err != nil {
		return err
	}
	for _, balancer := range run.Balancers {
		if err := balancer.Partition(ctx); err != nil {
			return err
		}
	}
	allZones := func(lb.Zone, lb.Zone) bool { return true }
	if err := run.awaitMembers(ctx, "both sides are members of each other", allZones); err != nil {
		return err
	}
	return run.drainAndRestore(ctx, run.Hosts[0])
}

// awaitMembers waits until the members known to every balancer are exactly the balancers in the
// zones for which expects returns true.
func (run *faultRun) awaitMembers(ctx context.Context, description string, expects func(zone, ownZone lb.Zone) bool) error {
	return cluster.WaitUntil(ctx, description, func() (bool, error) {
		for _, balancer := range run.Balancers {
			state, err := balancer.State(ctx)
			if err != nil {
				return false, err
			}
			expected := 0
			for _, other := range run.Balancers {
				if expects(other.Zone, balancer.Zone) {
					expected++
				}
			}
			actual := 0
			for _, member := range state.Members {
				if !expects(member.Zone, balancer.Zone) {
					return false, nil
				}
				actual++
			}
			if actual != expected {
				return false, nil
			}
		}
		return true, nil
	})
}

// drainAndKill drains a host and kills a balancer right after it.
func drainAndKill(ctx context.Context, run *faultRun) error {
	start := time.Now()
	revision, err := run.drain(ctx, run.Hosts[0])
	if err != nil {
		return err
	}
	if err := run.Kill(ctx, run.lastBalancer(), 0); err != nil {
		return err
	}
	if err := run.awaitInForce(ctx, revision, start); err != nil {
		return err
	}
	return run.checkNoNewFlows(ctx, run.Hosts[0], start.Add(drainLimit))
}

// killDuringOutage kills a balancer during an outage of the store.
func killDuringOutage(ctx context.Context, run *faultRun) error {
	if err := run.SetStoreFaults(ctx, storeOutage); err != nil {
		return err
	}
	if err := run.Kill(ctx, run.lastBalancer(), machineListLag); err != nil {
		return err
	}
	if err := run.awaitProgress(ctx); err != nil {
		return err
	}
	if err := run.SetStoreFaults(ctx, storeHealthy); err != nil {
		return err
	}
	return run.drainAndRestore(ctx, run.Hosts[0])
}

// stopWhileFrozen stops a balancer as planned while another one is suspended.
func stopWhileFrozen(ctx context.Context, run *faultRun) error {
	frozen := run.lastBalancer()
	if err := frozen.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	if err := run.StopPlanned(ctx, run.Balancers[0]); err != nil {
		return err
	}
	if err := frozen.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	return run.drainAndRestore(ctx, run.Hosts[0])
}

// changesOnImpairedFabric drains a host and right after it stops a balancer as planned.
// Fault.FabricFlags sets the impairments.
func changesOnImpairedFabric(ctx context.Context, run *faultRun) error {
	changedAt := time.Now()
	if _, err := run.drain(ctx, run.Hosts[0]); err != nil {
		return err
	}
	if err := run.StopPlanned(ctx, run.Balancers[0]); err != nil {
		return err
	}
	return run.checkNoNewFlows(ctx, run.Hosts[0], changedAt.Add(drainLimit))
}

// failAllProbes makes the health endpoint of every host fail for longer than the balancers take to
// mark a single host as failed.
func failAllProbes(ctx context.Context, run *faultRun) error {
	for _, host := range run.Hosts {
		if err := host.SetHealth(ctx, hostsim.HealthFaults{Down: true}); err != nil {
			return err
		}
	}
	if err := runLoadFor(ctx, probeFailureTime); err != nil {
		return err
	}
	for _, host := range run.Hosts {
		if err := host.SetHealth(ctx, hostsim.HealthFaults{}); err != nil {
			return err
		}
	}
	return nil
}

// probeFailureTime is several times the probe interval.
const probeFailureTime = 8 * time.Second

// freezeHost suspends a host's process until its back end is marked as failed, then resumes it and
// waits until the back end is active again.
func freezeHost(ctx context.Context, run *faultRun) error {
	frozen := run.Hosts[0]
	if err := frozen.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	start := time.Now()
	if err := run.awaitBackendState(ctx, frozen, lb.BackendFailed); err != nil {
		return err
	}
	run.addMeasurement("out after %s", time.Since(start).Round(time.Millisecond))
	if err := run.awaitProgress(ctx); err != nil {
		return err
	}
	if err := frozen.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	start = time.Now()
	if err := run.awaitBackendState(ctx, frozen, lb.BackendActive); err != nil {
		return err
	}
	run.addMeasurement("back after %s", time.Since(start).Round(time.Millisecond))
	return nil
}

// awaitBackendState waits until the placement has the host's back end in the expected state.
func (run *faultRun) awaitBackendState(ctx context.Context, host *cluster.Host, expected lb.BackendState) error {
	return cluster.WaitUntil(ctx, fmt.Sprintf("%s is %s", host.Name, expected), func() (bool, error) {
		placement, err := run.Operator.Placement(ctx, serviceWallet)
		for _, backend := range placement.Backends {
			if backend.Name == host.Backend.Name && backend.State == expected {
				return true, err
			}
		}
		return false, err
	})
}
