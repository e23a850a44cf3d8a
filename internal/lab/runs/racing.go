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
	racingOperatorCount = 4
	linearizableLimit   = 30 * time.Second // for the check of the history
)

// racingOperators lets several operators change the label of one back end concurrently, while the
// store loses responses. It checks that the history of the changes is linearizable, and that the last
// accepted change comes in force and stays.
func racingOperators(ctx context.Context, run *faultRun) error {
	target := run.Hosts[0]
	initial, err := run.Operator.Backend(ctx, target.Backend.Name)
	if err != nil {
		return err
	}
	if err := run.SetStoreFaults(ctx, storeLossy); err != nil {
		return err
	}
	histories, err := run.raceOperators(ctx, target.Backend.Name)
	if err != nil {
		return err
	}
	if err := run.SetStoreFaults(ctx, storeHealthy); err != nil {
		return err
	}
	history := slices.Concat(histories...)
	run.checkHistory(initial.WriteID, histories)
	last, err := run.lastAcceptedChange(history)
	if err != nil {
		return err
	}
	if err := run.awaitInForce(ctx, last.Revision, time.Now()); err != nil {
		return err
	}
	return run.checkLastChangePersists(ctx, target, last)
}

// raceOperators runs the operators concurrently and returns the history of changes of each
// operator.
func (run *faultRun) raceOperators(ctx context.Context, name lb.BackendName) ([][]cluster.Change, error) {
	histories := make([][]cluster.Change, racingOperatorCount)
	failures := make([]error, racingOperatorCount)
	var operators sync.WaitGroup
	for i := range racingOperatorCount {
		operators.Go(func() { histories[i], failures[i] = run.runOperator(ctx, name, i) })
	}
	operators.Wait()
	return histories, errors.Join(failures...)
}

// runOperator makes the changes of one operator, one after the other, and returns their history.
// Operators with an even number set the label that the selector requires, the others a different
// one.
func (run *faultRun) runOperator(ctx context.Context, name lb.BackendName, number int) ([]cluster.Change, error) {
	operator, err := run.NewOperator()
	if err != nil {
		return nil, err
	}
	label := string(serviceWallet)
	if number%2 == 1 {
		label = "none"
	}
	var history []cluster.Change
	for range run.options.Changes / racingOperatorCount {
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

// checkHistory checks that the outcomes are linearizable: they must agree with some sequential
// order of compare-and-swap operations on a single register.
func (run *faultRun) checkHistory(initialWriteID string, histories [][]cluster.Change) {
	var operations []porcupine.Operation
	counts := map[cluster.Outcome]int{}
	for client, history := range histories {
		for _, change := range history {
			counts[change.Outcome]++
			operations = append(operations, porcupine.Operation{
				ClientId: client,
				Input:    change,
				Call:     change.StartedAt.UnixNano(),
				Output:   change.Outcome,
				Return:   change.AnsweredAt.UnixNano(),
			})
		}
	}
	verdict := porcupine.CheckOperationsTimeout(writeIDRegisterModel(initialWriteID), operations, linearizableLimit)
	run.addMeasurement("%d accepted, %d conflicts, %d unknown; history %s", counts[cluster.OutcomeAccepted],
		counts[cluster.OutcomeConflict], counts[cluster.OutcomeUnknown], verdict)
	if verdict != porcupine.Ok {
		run.addViolation("the history of changes is not that of one register: %s", verdict)
	}
}

// writeIDRegisterModel returns the model of a register that holds the document of one back end. The
// write ID stands for the document. A change with an unknown outcome may or may not take effect.
func writeIDRegisterModel(initialWriteID string) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{initialWriteID} },
		Step: func(state, input, output any) []any {
			current := state.(string)
			change := input.(cluster.Change)
			switch output.(cluster.Outcome) {
			case cluster.OutcomeAccepted:
				if current == change.PreviousWriteID {
					return []any{change.WriteID}
				}
				return nil
			case cluster.OutcomeConflict:
				if current != change.PreviousWriteID {
					return []any{current}
				}
				return nil
			default:
				if current == change.PreviousWriteID {
					return []any{current, change.WriteID}
				}
				return []any{current}
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

// lastAcceptedChange returns the accepted change with the highest revision.
func (run *faultRun) lastAcceptedChange(history []cluster.Change) (cluster.Change, error) {
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

// checkLastChangePersists checks that the store holds the last accepted change and that all
// balancers apply it, and checks both again after further load.
func (run *faultRun) checkLastChangePersists(ctx context.Context, host *cluster.Host, last cluster.Change) error {
	for range 2 {
		document, err := run.Operator.Backend(ctx, host.Backend.Name)
		if err != nil {
			return err
		}
		if document.WriteID != last.WriteID {
			run.addViolation("the store holds change %s, the last accepted one is %s", document.WriteID, last.WriteID)
		}
		expected := lb.BackendActive
		if document.Labels["app"] != string(serviceWallet) {
			expected = lb.BackendDraining
		}
		if err := run.checkPlacement(ctx, host, expected); err != nil {
			return err
		}
		if err := run.awaitProgress(ctx); err != nil {
			return err
		}
	}
	return nil
}

// checkPlacement checks that the host's back end has the expected state in the placement, and waits
// until every balancer has that version of the placement or a later one.
func (run *faultRun) checkPlacement(ctx context.Context, host *cluster.Host, expected lb.BackendState) error {
	placement, err := run.Operator.Placement(ctx, serviceWallet)
	if err != nil {
		return err
	}
	actual := lb.BackendDraining // a back end that is not in the placement serves no flows either
	for _, backend := range placement.Backends {
		if backend.Name == host.Backend.Name {
			actual = backend.State
		}
	}
	if actual != expected {
		run.addViolation("%s is %s in placement version %d, wanted %s", host.Name, actual, placement.Version, expected)
	}
	description := fmt.Sprintf("all balancers have placement version %d", placement.Version)
	return cluster.WaitUntil(ctx, description, func() (bool, error) {
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
