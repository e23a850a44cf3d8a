package store

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

// Inputs and outputs of the register that the history is checked against.
type casInput struct {
	read     bool
	expected int64 // revision
	value    string
}

type casOutput struct {
	applied  bool
	revision int64
	value    string // of a read
}

type registerState struct {
	revision int64
	value    string
}

// register is a register with compare-and-swap on revisions: a write that is
// told as applied is the only one on that revision, one told as conflict
// never takes effect, and a read gives the last write.
var register = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(registerState), input.(casInput), output.(casOutput)
		if in.read {
			return out.revision == current.revision && out.value == current.value, current
		}
		if !out.applied {
			return current.revision != in.expected, current
		}
		return current.revision == in.expected && out.revision > current.revision, registerState{out.revision, in.value}
	},
}

// racer is one operator: it reads and writes one key until it made its changes.
type racer struct {
	number  int
	client  *Client
	history *history
}

type history struct {
	mutex      sync.Mutex
	operations []porcupine.Operation
}

func (history *history) add(racer int, call time.Time, in casInput, out casOutput) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.operations = append(history.operations, porcupine.Operation{
		ClientId: racer, Input: in, Output: out, Call: call.UnixNano(), Return: time.Now().UnixNano(),
	})
}

func (racer *racer) run(t *testing.T, key string, changes int) {
	ctx := testContext(t, 24*time.Hour)
	for change := range changes {
		call := time.Now()
		read, err := racer.client.Get(ctx, key)
		if err != nil {
			t.Errorf("read: %v", err)
			return
		}
		racer.history.add(racer.number, call, casInput{read: true}, casOutput{revision: read.ModRevision, value: string(read.Value)})
		time.Sleep(time.Duration(racer.number+1) * time.Millisecond) // lets another one be faster
		value := fmt.Sprintf("%d-%d", racer.number, change)
		call = time.Now()
		revision, err := racer.client.CompareAndSwap(ctx, &read, []byte(value), value, 0)
		if err != nil && !errors.Is(err, ErrConflict) {
			t.Errorf("write: %v", err)
			return
		}
		in := casInput{expected: read.ModRevision, value: value}
		racer.history.add(racer.number, call, in, casOutput{applied: err == nil, revision: revision})
	}
}

// TestRacingChanges lets several operators make 1,000 changes of one key at
// the same time, through a network that loses requests and answers and
// delivers requests late. No change told as accepted may be lost or undone,
// and none told as refused may take effect.
func TestRacingChanges(t *testing.T) {
	const racers, changes, key = 8, 125, "/robinpulley/k"
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newStandIn()
		var history history
		var group sync.WaitGroup
		var lost uint64
		clients := make([]*Client, racers)
		for number := range racers {
			client, transport := newTestClient(t, server, uint64(number))
			clients[number] = client
			client.settings.RetryBurst = 1e6 // the circuit and the faults are what is tested here
			client.guard.stats.RetryTokens = 1e6
			transport.set(randomFaults(uint64(number), 5, 15, 10))
			racer := racer{number: number, client: client, history: &history}
			group.Go(func() { racer.run(t, key, changes) })
			stop := make(chan struct{})
			defer close(stop)
			go releaseNowAndThen(transport, stop)
		}
		group.Wait()
		for _, client := range clients {
			lost += client.Stats().LostAnswers
			is.Equal(client.Stats().Resolved, client.Stats().LostAnswers)
		}
		result := porcupine.CheckOperationsTimeout(register, history.operations, time.Minute)
		is.Equal(result, porcupine.Ok)
		applied := 0
		for _, operation := range history.operations {
			if operation.Output.(casOutput).applied {
				applied++
			}
		}
		t.Logf("%d changes: %d applied, %d conflicts, %d lost answers, all resolved", racers*changes, applied, racers*changes-applied, lost)
		is.True(applied >= racers)
		is.True(lost >= 100)
	})
}

func releaseNowAndThen(transport *testTransport, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(70 * time.Millisecond):
			transport.releaseLate()
		}
	}
}

// TestInvalidTransactionsAreRefusedUnsent: what could not be resolved is not sent.
func TestInvalidTransactionsAreRefusedUnsent(t *testing.T) {
	is := is.New(t)
	client, transport := newTestClient(t, newStandIn(), 1)
	put := Put{Key: "/k", Value: []byte("w")}
	for _, txn := range []Transaction{
		{Conditions: []Condition{{Key: "/k"}}, Puts: []Put{put}},
		{WriteID: "w", Puts: []Put{put}},
		{WriteID: "w", Conditions: []Condition{{Key: "/k"}}},
		{WriteID: "w", Conditions: []Condition{{Key: "/other"}}, Puts: []Put{put}},
		{WriteID: "w", Conditions: []Condition{{Key: "/k", OfCreation: true}}, Puts: []Put{put}},
	} {
		_, err := client.Commit(t.Context(), txn)
		is.True(err != nil)
		is.Equal(asError(err).Verdict, lb.NotRun)
	}
	is.Equal(transport.requests(), 0)
}
