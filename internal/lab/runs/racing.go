package runs

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lab/cluster"
	"robinpulley.example/robinpulley/internal/lb"
)

const (
	racers            = 4
	linearizableLimit = 30 * time.Second
)

// racingOperators has several operators change the label of one back end at
// once, with answers of the store lost, and checks the history.
func racingOperators(ctx context.Context, run *faultRun) error {
	target := run.Hosts[0]
	first, err := run.Operator.Backend(ctx, target.Backend.Name)
	if err != nil {
		return err
	}
	if err := run.SetStoreFaults(ctx, storeLossy); err != nil {
		return err
	}
	histories, err := run.race(ctx, target.Backend.Name)
	if err != nil {
		return err
	}
	if err := run.SetStoreFaults(ctx, storeHealthy); err != nil {
		return err
	}
	history := slices.Concat(histories...)
	run.checkHistory(first.WriteID, histories)
	last, err := run.lastAccepted(history)
	if err != nil {
		return err
	}
	if err := run.inForce(ctx, last.Revision, time.Now()); err != nil {
		return err
	}
	return run.lastStays(ctx, target, last)
}

// race runs the operators and gives the history of each.
func (run *faultRun) race(ctx context.Context, name lb.BackendName) ([][]cluster.Change, error) {
	histories := make([][]cluster.Change, racers)
	failures := make([]error, racers)
	var racing sync.WaitGroup
	for i := range racers {
		racing.Go(func() { histories[i], failures[i] = run.raceOne(ctx, name, i) })
	}
	racing.Wait()
	return histories, errors.Join(failures...)
}

func (run *faultRun) raceOne(ctx context.Context, name lb.BackendName, number int) ([]cluster.Change, error) {
	operator, err := run.NewOperator()
	if err != nil {
		return nil, err
	}
	label := string(serviceWallet)
	if number%2 == 1 {
		label = "none"
	}
	var history []cluster.Change
	for range run.options.Changes / racers {
		change, err := operator.ChangeBackend(ctx, name, func(backend *catalog.Backend) {
			backend.Labels = map[string]string{"app": label}
		})
		if err != nil {
			return history, err
		}
		history = append(history, change)
	}
	return history, nil
}

// checkHistory checks that the outcomes are those of a single register with
// compare-and-swap, one change after the other.
func (run *faultRun) checkHistory(first string, histories [][]cluster.Change) {
	var operations []porcupine.Operation
	counts := map[cluster.Outcome]int{}
	for client, history := range histories {
		for _, change := range history {
			counts[change.Outcome]++
			operations = append(operations, porcupine.Operation{
				ClientId: client,
				Input:    change,
				Call:     change.Called.UnixNano(),
				Output:   change.Outcome,
				Return:   change.Answered.UnixNano(),
			})
		}
	}
	verdict := porcupine.CheckOperationsTimeout(registerModel(first), operations, linearizableLimit)
	run.figure("%d accepted, %d conflicts, %d unknown; history %s", counts[cluster.OutcomeAccepted],
		counts[cluster.OutcomeConflict], counts[cluster.OutcomeUnknown], verdict)
	if verdict != porcupine.Ok {
		run.violate("the history of changes is not that of one register: %s", verdict)
	}
}

// registerModel is one back end's document, told apart by its write id.
func registerModel(first string) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{first} },
		Step: func(state, input, output any) []any {
			current := state.(string)
			change := input.(cluster.Change)
			switch output.(cluster.Outcome) {
			case cluster.OutcomeAccepted:
				if current == change.Read {
					return []any{change.Write}
				}
				return nil
			case cluster.OutcomeConflict:
				if current != change.Read {
					return []any{current}
				}
				return nil
			default:
				if current == change.Read {
					return []any{current, change.Write}
				}
				return []any{current}
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

// lastAccepted gives the change with the highest revision.
func (run *faultRun) lastAccepted(history []cluster.Change) (cluster.Change, error) {
	var last cluster.Change
	for _, change := range history {
		if change.Outcome == cluster.OutcomeAccepted && change.Revision > last.Revision {
			last = change
		}
	}
	if last.Revision == 0 {
		return last, errors.New("no racing change was accepted")
	}
	return last, nil
}

// lastStays checks that the last accepted change is what the store holds and
// what all balancers go by, and that it stays so under load.
func (run *faultRun) lastStays(ctx context.Context, host *cluster.Host, last cluster.Change) error {
	for range 2 {
		document, err := run.Operator.Backend(ctx, host.Backend.Name)
		if err != nil {
			return err
		}
		if document.WriteID != last.Write {
			run.violate("the store holds change %s, the last accepted one is %s", document.WriteID, last.Write)
		}
		wanted := lb.BackendActive
		if document.Labels["app"] != string(serviceWallet) {
			wanted = lb.BackendDraining
		}
		if err := run.agrees(ctx, host, wanted); err != nil {
			return err
		}
		if err := run.progress(ctx); err != nil {
			return err
		}
	}
	return nil
}

// agrees checks that the placement has the host's back end in the wanted
// state, and that every balancer gets to that placement.
func (run *faultRun) agrees(ctx context.Context, host *cluster.Host, wanted lb.BackendState) error {
	placement, err := run.Operator.Placement(ctx, serviceWallet)
	if err != nil {
		return err
	}
	found := lb.BackendDraining // a back end that has left serves nothing either
	for _, backend := range placement.Backends {
		if backend.Name == host.Backend.Name {
			found = backend.State
		}
	}
	if found != wanted {
		run.violate("%s is %s in placement version %d, wanted %s", host.Name, found, placement.Version, wanted)
	}
	what := fmt.Sprintf("all balancers have placement version %d", placement.Version)
	return cluster.Until(ctx, what, func() (bool, error) {
		for _, balancer := range run.Balancers {
			if balancer.Ended() {
				continue
			}
			state, err := balancer.State(ctx)
			if err != nil || state.Versions[serviceWallet] < placement.Version {
				return false, err
			}
		}
		return true, nil
	})
}
