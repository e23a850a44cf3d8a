package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

const (
	accepted = Token(11) // of the back end whose answer the caller accepted
	late     = Token(22) // of one that answered an earlier copy later
)

const opening = uint32(7)

func TestLateAnswerDoesNotMoveAFlow(t *testing.T) {
	is := is.New(t)
	table := New(DefaultSettings())
	table.Opening(0, 1, opening, 1)
	is.Equal(table.Resolve(1, 1, accepted, 1000), accepted)
	is.Equal(table.Resolve(2, 1, late, 1500), accepted)
	is.Equal(table.Resolve(3, 1, late, 900), accepted) // a packet that was overtaken
	is.Equal(table.Stats(), Stats{Corrected: 2, Flows: 1})
}

// TestOtherFlowsGoByTheirTokens: those that are not tracked, and a new flow of the same
// addresses and ports, which another balancer has opened.
func TestOtherFlowsGoByTheirTokens(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	table := New(settings)
	is.Equal(table.Resolve(0, 1, late, 5), late)
	table.Opening(0, 1, opening, 1)
	is.Equal(table.Resolve(1, 1, accepted, 1000), accepted)
	is.Equal(table.Resolve(2, 2, late, 1000), late)
	is.Equal(table.Resolve(3, 1, late, 1001+settings.AckWindow), late)
	is.Equal(table.Resolve(4, 1, accepted, 1000), accepted) // forgotten meanwhile
	is.Equal(table.Stats(), Stats{})
}

func TestNewOpeningGoesByItsToken(t *testing.T) {
	is := is.New(t)
	table := New(DefaultSettings())
	table.Opening(0, 1, opening, 1)
	table.Resolve(1, 1, accepted, 1000)
	table.Opening(2, 1, opening, 0) // the first copy, delayed
	is.Equal(table.Resolve(3, 1, late, 1000), accepted)
	table.Opening(4, 1, opening+1, 0)
	is.Equal(table.Resolve(5, 1, late, 1000), late)
}

// TestFlowOpenedElsewhere: its first copy was placed here, and its first later packet here
// names another back end.
func TestFlowOpenedElsewhere(t *testing.T) {
	is := is.New(t)
	table := New(DefaultSettings())
	table.Open(0, 1, accepted, 1000)
	is.Equal(table.Resolve(1, 1, late, 1000), accepted)
}

func TestAcknowledgementsWrapAround(t *testing.T) {
	is := is.New(t)
	table := New(DefaultSettings())
	table.Opening(0, 1, opening, 1)
	table.Resolve(1, 1, accepted, ^uint32(0)-10)
	is.Equal(table.Resolve(2, 1, late, 50), accepted)
	is.Equal(table.Resolve(3, 1, late, ^uint32(0)-5), accepted)
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	settings.MaxFlows = 10
	table := New(settings)
	for id := range lb.FlowID(15) {
		table.Opening(0, id, opening, 1)
	}
	table.Opening(0, 3, opening, 2) // known already
	is.Equal(table.Stats(), Stats{Untracked: 5, Flows: 10})
	table.Resolve(settings.IdleTimeout, 3, accepted, 1)
	table.Tick(settings.IdleTimeout + time.Second)
	is.Equal(table.Stats().Flows, 1)
	table.Tick(3 * settings.IdleTimeout)
	is.Equal(table.Stats().Flows, 0)
}
