package follower

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/steering"
)

// leaveRun lets all back ends of a service go while nodes fail, and checks where each node would
// send an opening.
type leaveRun struct {
	*fleet
	limit     time.Duration
	random    *rand.Rand
	compilers map[*Core]*steering.Compiler
	deletedAt map[lb.BackendName]time.Duration // when the store accepted the deletion
	// lastResort counts the nodes and steps at which an opening could go to a deleted back end.
	lastResort int
	// late describes the first opening after the limit; it is empty if there was none.
	late string
}

const leavingBackends = 4

func newLeaveRun(t *testing.T, seed uint64, limit time.Duration) *leaveRun {
	random := rand.New(rand.NewPCG(seed, 49))
	run := &leaveRun{
		fleet: newFleet(t, 1+random.IntN(3), 2+random.IntN(4), seed, limit), limit: limit, random: random,
		compilers: map[*Core]*steering.Compiler{}, deletedAt: map[lb.BackendName]time.Duration{},
	}
	run.store.Configure(1, 80)
	for index := range leavingBackends {
		run.store.Put(leavingBackend(index), lb.BackendActive)
	}
	run.fleet.run(200 * time.Millisecond)
	run.announce()
	run.fleet.run(10*time.Second + time.Duration(random.IntN(300))*simulationStep)
	return run
}

func leavingBackend(index int) lb.BackendName {
	return lb.BackendName(fmt.Sprintf("leaving-%d", index))
}

// deleteAll deletes the entries of all back ends that are in the store.
func (run *leaveRun) deleteAll() {
	for index := range leavingBackends {
		name := leavingBackend(index)
		if _, found := run.store.Entry(name); found {
			run.store.Remove(name)
			run.deletedAt[name] = run.now
		}
	}
}

// advance advances the virtual time and checks all nodes at every step.
func (run *leaveRun) advance(duration time.Duration) {
	for end := run.now + duration; run.now < end; {
		run.fleet.run(simulationStep)
		for _, node := range run.nodes {
			if !node.dead && run.now >= node.pausedUntil {
				run.check(node)
			}
		}
	}
}

// check records whether a node would send an opening to a deleted back end. An opening after the limit
// is a failure only at a node that knows of the deletion: TestChangeTakesEffectDespiteFailures bounds
// how late nodes learn.
func (run *leaveRun) check(node *fleetNode) {
	if !node.core.Replica().Configured() {
		return
	}
	compiler := run.compilers[node.core]
	if compiler == nil {
		compiler = steering.NewCompiler(steering.Settings{Zone: node.zone, LeaveLimit: run.limit})
		run.compilers[node.core] = compiler
	}
	host := compiler.Compile(node.core.Replica(), run.now).ServiceNamed("web").Pick(lb.FlowID(run.random.Uint64()), nil, nil)
	if host == nil {
		return
	}
	if _, found := run.store.Entry(host.Name); found {
		return
	}
	run.lastResort++
	since := run.now - run.deletedAt[host.Name]
	if known, found := node.core.Replica().Backend(host.Name); found && known.Deleted && since > run.limit && run.late == "" {
		run.late = fmt.Sprintf("%s sends an opening to %s %s after its deletion, learned %s after it", node.id, host.Name, since, known.DeletedAt-run.deletedAt[host.Name])
	}
}

// TestDeletionInTimeLeavesLastResort checks that the last back ends of a service still serve for
// some time after their entries are gone, at any limit, while all nodes learn of it at once.
func TestDeletionInTimeLeavesLastResort(t *testing.T) {
	for _, limit := range []time.Duration{time.Second, defaultLimit, maxLimit, 8 * time.Second} {
		run := newLeaveRun(t, 1, limit)
		run.deleteAll()
		run.advance(2 * limit)
		steps := run.lastResort / len(run.nodes)
		wanted := min(limit/2, time.Second)
		if run.late != "" || time.Duration(steps)*simulationStep < wanted {
			t.Errorf("limit %s: back ends serve for %s, want %s to %s (%s)", limit, time.Duration(steps)*simulationStep, wanted, limit, run.late)
		}
	}
}

// TestBackendsDeletedInOutageServe checks that the back ends whose entries were deleted in an outage
// of the store still get openings at all nodes for a while after it, until they have registered
// again, and no longer.
func TestBackendsDeletedInOutageServe(t *testing.T) {
	const outage = 9 * time.Second
	for _, limit := range []time.Duration{time.Second, defaultLimit, maxLimit, 8 * time.Second} {
		for seed := range uint64(10) {
			run := newLeaveRun(t, seed, limit)
			run.setFaults(faultRefused)
			run.fleet.run(outage - time.Second)
			run.deleteAll()
			run.fleet.run(time.Second)
			run.setFaults(faultNone)
			run.fleet.run(3 * time.Second) // for all nodes to learn of the deletions
			for _, node := range run.nodes {
				if problem := run.serviceAfterOutage(node); problem != "" {
					t.Errorf("limit %s, seed %d: %s %s", limit, seed, node.id, problem)
				}
			}
		}
	}
}

// serviceAfterOutage returns what is wrong with the use that a node makes of back ends which were
// deleted in an outage; it is empty if nothing is.
func (run *leaveRun) serviceAfterOutage(node *fleetNode) string {
	known, found := node.core.Replica().Backend(leavingBackend(0))
	if !found || !known.DeletedDuringOutage {
		return fmt.Sprintf("knows %+v of a back end that was deleted in the outage", known)
	}
	readyAfter := func(delay time.Duration) int {
		compiler := steering.NewCompiler(steering.Settings{Zone: node.zone, LeaveLimit: run.limit})
		_, ready := compiler.Compile(node.core.Replica(), known.DeletedAt+delay).Counts()
		return ready
	}
	soon, later := readyAfter(time.Second), readyAfter(2*time.Second)
	if soon != leavingBackends || later != 0 {
		return fmt.Sprintf("has %d and %d ready back ends 1 and 2 s after it learned of the deletions, want %d and 0", soon, later, leavingBackends)
	}
	return ""
}

// setFaults sets how the store fails for all nodes.
func (run *leaveRun) setFaults(fault storeFault) {
	for _, node := range run.nodes {
		node.fault = fault
	}
}

// TestNoOpeningsAfterLeaveLimit guards against openings to back ends that are gone: a node that
// learned of the deletions late, because the watcher failed, used to count its own grace period
// from the moment at which it learned, beyond the limit.
func TestNoOpeningsAfterLeaveLimit(t *testing.T) {
	for _, limit := range []time.Duration{time.Second, defaultLimit, 5 * time.Second, maxLimit, 8 * time.Second} {
		for seed := range uint64(60) {
			run := newLeaveRun(t, seed, limit)
			run.playFailures()
			if run.late != "" {
				t.Errorf("limit %s, seed %d: %s", limit, seed, run.late)
			}
		}
	}
}

// failure is a failure at a time relative to the first deletion.
type failure struct {
	after  time.Duration // negative: before the deletion
	inject func()
}

// playFailures deletes the back ends twice while nodes fail.
func (run *leaveRun) playFailures() {
	failures := []failure{{run.drawTime(-300, 0), run.killWatcher}}
	others := []func(){run.killWatcher, run.failStoreOfNode, run.pauseNode, run.startKilled, run.announce, run.compactHistory, run.changeConfiguration, run.registerAgain}
	for range run.random.IntN(5) {
		failures = append(failures, failure{run.drawTime(-1000, 4000), others[run.random.IntN(len(others))]})
	}
	failures = append(failures, failure{0, run.deleteAll}, failure{run.drawTime(0, 3000), run.deleteAll})
	for offset := -run.limit; offset <= 3*run.limit; offset += simulationStep {
		for _, next := range failures {
			if next.after == offset {
				next.inject()
			}
		}
		run.advance(simulationStep)
	}
}

// drawTime draws a time between two offsets in thousandths of a third of the limit, which are
// milliseconds at the default limit.
func (run *leaveRun) drawTime(from, to int) time.Duration {
	scaled := time.Duration(from+run.random.IntN(to-from+1)) * run.limit / 3000
	return scaled.Truncate(simulationStep)
}

func (run *leaveRun) killWatcher() {
	alive := 0
	for _, node := range run.nodes {
		if !node.dead {
			alive++
		}
	}
	for _, node := range run.watchers() {
		if !node.dead && alive > 1 {
			node.dead = true
			return
		}
	}
}

func (run *leaveRun) randomNode() *fleetNode { return run.nodes[run.random.IntN(len(run.nodes))] }

func (run *leaveRun) failStoreOfNode() {
	faults := []storeFault{faultUnresponsive, faultRefused, faultThrottled, faultNone}
	run.randomNode().fault = faults[run.random.IntN(len(faults))]
}

func (run *leaveRun) pauseNode() {
	run.randomNode().pausedUntil = run.now + run.drawTime(100, 4000)
}

// startKilled starts all killed nodes again, with empty views.
func (run *leaveRun) startKilled() {
	for _, node := range run.nodes {
		if node.dead {
			node.dead, node.read, node.answered, node.fault = false, nil, nil, faultNone
			node.core = New(run.settingsOf(node, run.random.Uint64()).ScaledTo(run.limit))
		}
	}
	run.announce()
}

func (run *leaveRun) compactHistory() { run.compacted = run.store.Revision() }

func (run *leaveRun) changeConfiguration() { run.store.Configure(uint64(run.now), 80) }

// registerAgain restores the entry of one deleted back end.
func (run *leaveRun) registerAgain() {
	run.store.Put(leavingBackend(run.random.IntN(leavingBackends)), lb.BackendActive)
}
