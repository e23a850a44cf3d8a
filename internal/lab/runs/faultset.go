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

// How the store misbehaves in the runs.
var (
	storeOutage  = storesim.Faults{Outage: true}
	storeSlow    = storesim.Faults{DelayMillis: 300}
	storeLossy   = storesim.Faults{LostAnswers: 300}
	storeHealthy = storesim.Faults{}
)

// roughFabric loses 1 % of the packets, sends 2 % twice, holds back 5 %, and
// has different delays to the zones.
var roughFabric = []string{
	"--loss=10", "--duplicate=20", "--reorder=50", "--reorder-us=5000",
	"--delay-us=zone-a=500,zone-b=1000,zone-c=1500",
}

// AllFaults is the long set, in the order of running.
func AllFaults() []Fault {
	return []Fault{
		{Name: "drain", Guarantee: "a drained back end gets no new flow after 3 s; no flow breaks", run: drainOne},
		{Name: "planned-stop", Guarantee: "planned stops break no flow", run: plannedStops},
		{Name: "join", Guarantee: "a joining balancer breaks no flow, also with the store down", run: joinWithoutStore},
		{Name: "store-outage", Guarantee: "flows go on; an accepted change is in force after the outage", run: outage},
		{Name: "slow-store", Guarantee: "changes come in force with a slow store", run: slowStore},
		{Name: "lost-answers", Guarantee: "changes come in force and stay with answers lost", run: lostAnswers},
		{Name: "racing-operators", Guarantee: "one of racing changes wins, the others are told; none reverts", run: racingOperators},
		{
			Name: "rough-fabric", Guarantee: "drain and planned stop with loss, duplication, reordering and delay",
			Fabric: roughFabric, run: roughChanges,
		},
		{Name: "false-alarm", Guarantee: "service goes on when every host looks unhealthy", Probe: true, run: falseAlarm},
		{Name: "host-freeze", Guarantee: "a frozen host is taken out and comes back", Unplanned: true, Probe: true, run: freezeHost},
		{Name: "kill", Guarantee: "a killed balancer leads to no double run and no false not-run", Unplanned: true, run: killOne},
		{Name: "kill-watchers", Guarantee: "a change is in force although a zone's watcher is killed", Unplanned: true, run: killWatcher},
		{Name: "freeze", Guarantee: "a balancer frozen during a change does not act on its old view", Unplanned: true, run: freeze},
		{Name: "cut", Guarantee: "a cut zone keeps serving its flows", run: cutZone},
		{Name: "cut-and-drain", Guarantee: "a drain while a zone is cut off", Unplanned: true, run: cutAndDrain},
		{Name: "drain-and-kill", Guarantee: "a drain and a kill at once", Unplanned: true, run: drainAndKill},
		{Name: "kill-in-outage", Guarantee: "a kill while the store is down", Unplanned: true, run: killInOutage},
		{Name: "freeze-and-stop", Guarantee: "a planned stop while another balancer is frozen", Unplanned: true, run: freezeAndStop},
	}
}

func drainOne(ctx context.Context, run *faultRun) error {
	if err := run.drainAndCheck(ctx, run.Hosts[0]); err != nil {
		return err
	}
	began := time.Now()
	revision, err := run.undrain(ctx, run.Hosts[0])
	if err != nil {
		return err
	}
	return run.inForce(ctx, revision, began)
}

// plannedStops replaces one balancer after the other: the new one joins, then
// the old one stops.
func plannedStops(ctx context.Context, run *faultRun) error {
	for i := range run.options.Stops {
		old := run.Balancers[i]
		joined, err := run.StartBalancer(ctx, fmt.Sprintf("%s-r%d", old.Zone, i+1), old.Zone)
		if err != nil {
			return err
		}
		if err := run.Admit(ctx, joined); err != nil {
			return err
		}
		if err := run.StopPlanned(ctx, old); err != nil {
			return err
		}
	}
	run.figure("%d planned stops", run.options.Stops)
	return nil
}

// joinWithoutStore has a balancer join while the store is down.
func joinWithoutStore(ctx context.Context, run *faultRun) error {
	if err := run.SetStoreFaults(ctx, storeOutage); err != nil {
		return err
	}
	joined, err := run.StartBalancer(ctx, "zone-a-new", "zone-a")
	if err != nil {
		return err
	}
	began := time.Now()
	if err := run.Admit(ctx, joined); err != nil {
		return err
	}
	run.figure("ready %s after its start, with the store down", time.Since(began).Round(time.Millisecond))
	if err := run.progress(ctx); err != nil {
		return err
	}
	return run.SetStoreFaults(ctx, storeHealthy)
}

func outage(ctx context.Context, run *faultRun) error {
	revision, err := run.drain(ctx, run.Hosts[0])
	if err != nil {
		return err
	}
	// The outage begins while the change spreads.
	if err := run.SetStoreFaults(ctx, storeOutage); err != nil {
		return err
	}
	if err := run.progress(ctx); err != nil {
		return err
	}
	if err := run.SetStoreFaults(ctx, storeHealthy); err != nil {
		return err
	}
	if err := run.inForce(ctx, revision, time.Now()); err != nil {
		return err
	}
	return run.agrees(ctx, run.Hosts[0], lb.BackendDraining)
}

// slowStore also drops the running watches.
func slowStore(ctx context.Context, run *faultRun) error {
	slow := storeSlow
	slow.DropWatches = true
	if err := run.SetStoreFaults(ctx, slow); err != nil {
		return err
	}
	if err := run.change(ctx, run.Hosts[0]); err != nil {
		return err
	}
	if err := run.SetStoreFaults(ctx, storeHealthy); err != nil {
		return err
	}
	return run.agrees(ctx, run.Hosts[0], lb.BackendActive)
}

func lostAnswers(ctx context.Context, run *faultRun) error {
	if err := run.SetStoreFaults(ctx, storeLossy); err != nil {
		return err
	}
	for _, host := range run.Hosts[:2] {
		if err := run.change(ctx, host); err != nil {
			return err
		}
	}
	if err := run.SetStoreFaults(ctx, storeHealthy); err != nil {
		return err
	}
	return run.agrees(ctx, run.Hosts[0], lb.BackendActive)
}

// last gives the balancer that was started last.
func (run *faultRun) last() *cluster.Balancer { return run.Balancers[len(run.Balancers)-1] }

func killOne(ctx context.Context, run *faultRun) error {
	if err := run.Kill(ctx, run.last(), machineListLag); err != nil {
		return err
	}
	return run.drainAndCheck(ctx, run.Hosts[0])
}

// killWatcher kills a balancer that watches the store, right after a change.
func killWatcher(ctx context.Context, run *faultRun) error {
	for _, balancer := range run.Balancers {
		state, err := balancer.State(ctx)
		if err != nil {
			return err
		}
		if !state.Watcher {
			continue
		}
		began := time.Now()
		revision, err := run.drain(ctx, run.Hosts[0])
		if err != nil {
			return err
		}
		if err := run.Kill(ctx, balancer, 0); err != nil {
			return err
		}
		return run.inForce(ctx, revision, began)
	}
	return errors.New("no balancer watches the store")
}

// freeze stops a balancer's process with packets in its sockets, changes the
// configuration and lets it go on.
func freeze(ctx context.Context, run *faultRun) error {
	frozen := run.last()
	if err := frozen.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	if err := run.drainAndCheck(ctx, run.Hosts[0]); err != nil {
		return err
	}
	if err := frozen.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	thawed := time.Now()
	if err := run.progress(ctx); err != nil {
		return err
	}
	if err := run.noNewFlows(ctx, run.Hosts[0], thawed); err != nil {
		return err
	}
	return run.agrees(ctx, run.Hosts[0], lb.BackendDraining)
}

// cutZone has a zone cut off for a while.
func cutZone(ctx context.Context, run *faultRun) error {
	return run.whileCut(ctx, func() error { return run.progress(ctx) })
}

func cutAndDrain(ctx context.Context, run *faultRun) error {
	return run.whileCut(ctx, func() error { return run.drainAndCheck(ctx, run.Hosts[0]) })
}

// whileCut cuts one zone's balancers off from the others, both ways, until
// each side has given up the other, then calls the function and ends the cut.
func (run *faultRun) whileCut(ctx context.Context, during func() error) error {
	const island = lb.Zone("zone-c")
	for _, balancer := range run.Balancers {
		from := []lb.Zone{island}
		if balancer.Zone == island {
			from = otherZones(island)
		}
		if err := balancer.Cut(ctx, from...); err != nil {
			return err
		}
	}
	err := run.members(ctx, "each side has given up the other", func(seen, self lb.Zone) bool {
		return (seen == island) == (self == island)
	})
	if err != nil {
		return err
	}
	if err := during(); err != nil {
		return err
	}
	for _, balancer := range run.Balancers {
		if err := balancer.Cut(ctx); err != nil {
			return err
		}
	}
	all := func(lb.Zone, lb.Zone) bool { return true }
	if err := run.members(ctx, "both sides see each other", all); err != nil {
		return err
	}
	return run.change(ctx, run.Hosts[0])
}

// members waits until every balancer has as members exactly the balancers
// of the zones that it should see.
func (run *faultRun) members(ctx context.Context, what string, sees func(seen, self lb.Zone) bool) error {
	return cluster.Until(ctx, what, func() (bool, error) {
		for _, balancer := range run.Balancers {
			state, err := balancer.State(ctx)
			if err != nil {
				return false, err
			}
			wanted := 0
			for _, other := range run.Balancers {
				if sees(other.Zone, balancer.Zone) {
					wanted++
				}
			}
			found := 0
			for _, member := range state.Members {
				if !sees(member.Zone, balancer.Zone) {
					return false, nil
				}
				found++
			}
			if found != wanted {
				return false, nil
			}
		}
		return true, nil
	})
}

func drainAndKill(ctx context.Context, run *faultRun) error {
	began := time.Now()
	revision, err := run.drain(ctx, run.Hosts[0])
	if err != nil {
		return err
	}
	if err := run.Kill(ctx, run.last(), 0); err != nil {
		return err
	}
	if err := run.inForce(ctx, revision, began); err != nil {
		return err
	}
	return run.noNewFlows(ctx, run.Hosts[0], began.Add(drainedWithin))
}

func killInOutage(ctx context.Context, run *faultRun) error {
	if err := run.SetStoreFaults(ctx, storeOutage); err != nil {
		return err
	}
	if err := run.Kill(ctx, run.last(), machineListLag); err != nil {
		return err
	}
	if err := run.progress(ctx); err != nil {
		return err
	}
	if err := run.SetStoreFaults(ctx, storeHealthy); err != nil {
		return err
	}
	return run.change(ctx, run.Hosts[0])
}

func freezeAndStop(ctx context.Context, run *faultRun) error {
	frozen := run.last()
	if err := frozen.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	if err := run.StopPlanned(ctx, run.Balancers[0]); err != nil {
		return err
	}
	if err := frozen.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	return run.change(ctx, run.Hosts[0])
}

// roughChanges drains a host and stops a balancer at once.
func roughChanges(ctx context.Context, run *faultRun) error {
	changed := time.Now()
	if _, err := run.drain(ctx, run.Hosts[0]); err != nil {
		return err
	}
	if err := run.StopPlanned(ctx, run.Balancers[0]); err != nil {
		return err
	}
	return run.noNewFlows(ctx, run.Hosts[0], changed.Add(drainedWithin))
}

// falseAlarm has every host's health endpoint fail for longer than it takes to
// take one host out.
func falseAlarm(ctx context.Context, run *faultRun) error {
	for _, host := range run.Hosts {
		if err := host.SetHealth(ctx, hostsim.HealthFaults{Down: true}); err != nil {
			return err
		}
	}
	if err := underLoad(ctx, alarmTime); err != nil {
		return err
	}
	for _, host := range run.Hosts {
		if err := host.SetHealth(ctx, hostsim.HealthFaults{}); err != nil {
			return err
		}
	}
	return nil
}

// alarmTime is several times the probing interval.
const alarmTime = 8 * time.Second

// freezeHost stops a host's process until its back end has failed, and lets it
// go on until it is active again.
func freezeHost(ctx context.Context, run *faultRun) error {
	frozen := run.Hosts[0]
	if err := frozen.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	began := time.Now()
	if err := run.becomes(ctx, frozen, lb.BackendFailed); err != nil {
		return err
	}
	run.figure("out after %s", time.Since(began).Round(time.Millisecond))
	if err := run.progress(ctx); err != nil {
		return err
	}
	if err := frozen.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	began = time.Now()
	if err := run.becomes(ctx, frozen, lb.BackendActive); err != nil {
		return err
	}
	run.figure("back after %s", time.Since(began).Round(time.Millisecond))
	return nil
}

// becomes waits until the placement has the host's back end in a state.
func (run *faultRun) becomes(ctx context.Context, host *cluster.Host, wanted lb.BackendState) error {
	return cluster.Until(ctx, fmt.Sprintf("%s is %s", host.Name, wanted), func() (bool, error) {
		placement, err := run.Operator.Placement(ctx, serviceWallet)
		for _, backend := range placement.Backends {
			if backend.Name == host.Backend.Name && backend.State == wanted {
				return true, err
			}
		}
		return false, err
	})
}
