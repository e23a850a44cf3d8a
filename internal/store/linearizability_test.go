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

// casInput and casOutput are the inputs and outputs of the operations on the register that the
// recorded history is checked against.
type casInput struct {
	read     bool
	expected int64 // expected revision
	value    string
}

type casOutput struct {
	applied  bool
	revision int64
	value    string // only for a read
}

type registerState struct {
	revision int64
	value    string
}

// registerModel is a register with compare-and-swap on revisions: a write that was reported as
// applied is the only one that replaced its expected revision, a write that was reported as a
// conflict never takes effect, and a read returns the last write.
var registerModel = porcupine.Model{
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

// concurrentWriter is one of several clients that read and write the same key until each has made
// its number of changes.
type concurrentWriter struct {
	number  int
	client  *Client
	history *history
}

type history struct {
	mutex      sync.Mutex
	operations []porcupine.Operation
}

func (history *history) add(writer int, call time.Time, in casInput, out casOutput) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.operations = append(history.operations, porcupine.Operation{
		ClientId: writer, Input: in, Output: out, Call: call.UnixNano(), Return: time.Now().UnixNano(),
	})
}

func (writer *concurrentWriter) run(t *testing.T, key string, changes int) {
	ctx := testContext(t, 24*time.Hour)
	for change := range changes {
		call := time.Now()
		read, err := writer.client.Get(ctx, key)
		if err != nil {
			t.Errorf("read: %v", err)
			return
		}
		writer.history.add(writer.number, call, casInput{read: true}, casOutput{revision: read.ModRevision, value: string(read.Value)})
		// Different delays let other writers write between this writer's read and its write.
		time.Sleep(time.Duration(writer.number+1) * time.Millisecond)
		value := fmt.Sprintf("%d-%d", writer.number, change)
		call = time.Now()
		revision, err := writer.client.CompareAndSwap(ctx, &read, []byte(value), value, 0)
		if err != nil && !errors.Is(err, ErrConflict) {
			t.Errorf("write: %v", err)
			return
		}
		in := casInput{expected: read.ModRevision, value: value}
		writer.history.add(writer.number, call, in, casOutput{applied: err == nil, revision: revision})
	}
}

// TestConcurrentChangesAreLinearizable has several clients make 1,000 changes of one key
// concurrently, through a network that loses requests and responses and delivers some requests
// late. No change that was reported as applied may be lost or reverted, and no change that was
// reported as a conflict may take effect.
func TestConcurrentChangesAreLinearizable(t *testing.T) {
	const writers, changes, key = 8, 125, "/robinpulley/k"
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newSimulatedStore()
		var history history
		var group sync.WaitGroup
		var lostResponses uint64
		clients := make([]*Client, writers)
		for number := range writers {
			client, transport := newTestClient(t, server, uint64(number))
			clients[number] = client
			// This test covers lost and delayed messages, so the retry budget is practically
			// unlimited.
			client.settings.RetryBurst = 1e6
			client.policy.stats.RetryTokens = 1e6
			transport.setFault(randomFaults(uint64(number), 5, 15, 10))
			writer := concurrentWriter{number: number, client: client, history: &history}
			group.Go(func() { writer.run(t, key, changes) })
			stop := make(chan struct{})
			defer close(stop)
			go deliverDelayedPeriodically(transport, stop)
		}
		group.Wait()
		for _, client := range clients {
			lostResponses += client.Stats().LostResponses
			is.Equal(client.Stats().ResolvedOutcomes, client.Stats().LostResponses)
		}
		result := porcupine.CheckOperationsTimeout(registerModel, history.operations, time.Minute)
		is.Equal(result, porcupine.Ok)
		applied := 0
		for _, operation := range history.operations {
			if operation.Output.(casOutput).applied {
				applied++
			}
		}
		t.Logf("%d changes: %d applied, %d conflicts, %d lost responses, all resolved", writers*changes, applied, writers*changes-applied, lostResponses)
		is.True(applied >= writers)
		is.True(lostResponses >= 100)
	})
}

func deliverDelayedPeriodically(transport *testTransport, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(70 * time.Millisecond):
			transport.deliverDelayed()
		}
	}
}

// TestInvalidTransactionsAreNotSent checks that Commit rejects transactions for which it could not
// resolve a lost response.
func TestInvalidTransactionsAreNotSent(t *testing.T) {
	is := is.New(t)
	client, transport := newTestClient(t, newSimulatedStore(), 1)
	put := Put{Key: "/k", Value: []byte("w")}
	for _, txn := range []Transaction{
		{Conditions: []Condition{{Key: "/k"}}, Puts: []Put{put}},
		{WriteID: "w", Puts: []Put{put}},
		{WriteID: "w", Conditions: []Condition{{Key: "/k"}}},
		{WriteID: "w", Conditions: []Condition{{Key: "/other"}}, Puts: []Put{put}},
		{WriteID: "w", Conditions: []Condition{{Key: "/k", CompareCreateRevision: true}}, Puts: []Put{put}},
	} {
		_, err := client.Commit(t.Context(), txn)
		is.True(err != nil)
		is.Equal(asError(err).Verdict, lb.NotRun)
	}
	is.Equal(transport.requests(), 0)
}
