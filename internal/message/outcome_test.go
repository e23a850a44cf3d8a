package message

import (
	"testing"

	"github.com/matryer/is"
)

func TestInvalidOutcomeMessagesAreRejected(t *testing.T) {
	is := is.New(t)
	for _, valid := range []Message{
		OutcomeReport{Backends: []BackendOutcomes{{Identity: 1, Bad: 2, Good: 3, NewReporters: 1}}},
		OutcomeVerdict{Sender: "n", Sequence: 1, Watched: []uint64{1}, Ejected: []uint64{2}},
	} {
		_, err := Encode(nil, "n", valid)
		is.NoErr(err)
	}
	for field, invalid := range map[string]Message{
		"backends": OutcomeReport{Backends: []BackendOutcomes{{Identity: 1, Bad: -1}}},
		"sender":   OutcomeVerdict{Sequence: 1},
		"watched":  OutcomeVerdict{Sender: "n", Watched: make([]uint64, maxOutcomeBackends+1)},
	} {
		_, err := Encode(nil, "n", invalid)
		if err == nil {
			t.Errorf("%s: Encode returned no error", field)
		}
	}
}
