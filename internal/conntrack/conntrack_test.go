package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

const (
	accepted = Token(11) // of the back end whose answer the client accepted
	late     = Token(22) // of a back end that later answered an earlier copy
)

const opening = uint32(7)

// TestLateAnswerDoesNotMoveFlow guards against resets of open flows: a late answer to an earlier
// copy makes the client send the token of a back end at which the flow is not open.
func TestLateAnswerDoesNotMoveFlow(t *testing.T) {
	is := is.New(t)
	table := New(DefaultSettings())
	table.TrackAmbiguous(0, 1, opening)
	is.Equal(table.Resolve(1, 1, accepted, 1000), accepted)
	is.Equal(table.Resolve(2, 1, late, 1500), accepted)
	is.Equal(table.Resolve(3, 1, late, 900), accepted) // a reordered packet
	is.Equal(table.Stats(), Stats{Corrected: 2, Flows: 1})
}

// TestOtherFlowsUseTheirOwnTokens covers flows that are not tracked, and a new flow with the same
// addresses and ports that another balancer opened.
func TestOtherFlowsUseTheirOwnTokens(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	table := New(settings)
	is.Equal(table.Resolve(0, 1, late, 5), late)
	table.TrackAmbiguous(0, 1, opening)
	is.Equal(table.Resolve(1, 1, accepted, 1000), accepted)
	is.Equal(table.Resolve(2, 2, late, 1000), late)
	is.Equal(table.Resolve(3, 1, late, 1001+settings.AckWindow), late)
	is.Equal(table.Resolve(4, 1, accepted, 1000), accepted) // the entry was removed
	is.Equal(table.Stats(), Stats{})
}

// TestNewOpeningUsesItsOwnToken checks that a new opening with the same addresses and ports ends
// the tracking of the earlier flow, and that a delayed copy of the earlier opening does not.
func TestNewOpeningUsesItsOwnToken(t *testing.T) {
	is := is.New(t)
	table := New(DefaultSettings())
	table.TrackAmbiguous(0, 1, opening)
	table.Resolve(1, 1, accepted, 1000)
	table.RecordOpening(1, opening) // the first copy, delayed
	is.Equal(table.Resolve(3, 1, late, 1000), accepted)
	table.RecordOpening(1, opening+1)
	is.Equal(table.Resolve(5, 1, late, 1000), late)
}

// TestFlowOpenedElsewhere covers a flow whose first copy was placed here, and whose first packet
// after the opening carries the token of another back end.
func TestFlowOpenedElsewhere(t *testing.T) {
	is := is.New(t)
	table := New(DefaultSettings())
	table.RecordOpenFlow(0, Flow{ID: 1, Token: accepted, Acknowledged: 1000})
	is.Equal(table.Resolve(1, 1, late, 1000), accepted)
}

// TestAcknowledgementsWrapAround checks that a flow stays tracked while its acknowledgement numbers
// wrap around.
func TestAcknowledgementsWrapAround(t *testing.T) {
	is := is.New(t)
	table := New(DefaultSettings())
	table.TrackAmbiguous(0, 1, opening)
	table.Resolve(1, 1, accepted, ^uint32(0)-10)
	is.Equal(table.Resolve(2, 1, late, 50), accepted)
	is.Equal(table.Resolve(3, 1, late, ^uint32(0)-5), accepted)
}

// TestTableIsBounded checks that the table has at most MaxFlows flows and that idle ones are
// removed.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	settings.MaxFlows = 10
	table := New(settings)
	for id := range lb.FlowID(15) {
		table.TrackAmbiguous(0, id, opening)
	}
	table.TrackAmbiguous(0, 3, opening) // is tracked already
	is.Equal(table.Stats(), Stats{Untracked: 5, Flows: 10})
	table.Resolve(settings.IdleTimeout, 3, accepted, 1)
	table.Tick(settings.IdleTimeout + time.Second)
	is.Equal(table.Stats().Flows, 1)
	table.Tick(3 * settings.IdleTimeout)
	is.Equal(table.Stats().Flows, 0)
}

// TestFlowsAreAnnounced checks that a flow which a late answer could move is announced once it is
// open and once more later, and that the receiver treats it like a flow opened here.
func TestFlowsAreAnnounced(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	repeat := settings.RepeatTime
	opener, other := New(settings), New(settings)
	opener.TrackAmbiguous(0, 1, opening)
	is.Equal(len(opener.Announcements(0)), 0) // not open yet
	opener.Resolve(1, 1, accepted, 1000)
	announced := opener.Announcements(1)
	is.Equal(announced, []Flow{{ID: 1, OpeningID: opening, Token: accepted, Acknowledged: 1000}})
	opener.Resolve(2, 1, accepted, 1100)
	is.Equal(len(opener.Announcements(repeat)), 0)
	is.Equal(opener.Announcements(1+repeat), announced)
	is.Equal(len(opener.Announcements(time.Hour)), 0)

	is.Equal(other.AddAnnounced(3, announced), announced)
	is.Equal(len(other.AddAnnounced(4, announced)), 0) // the same announcement on another path
	is.Equal(other.Resolve(5, 1, late, 1100), accepted)
	is.Equal(len(other.Announcements(5)), 0)
	is.Equal(other.Announcements(3+repeat), announced)
	other.RecordOpening(1, opening+1)
	is.Equal(other.Resolve(6, 1, late, 1100), late)
}

// TestAnnouncementDoesNotReplaceOwnObservation: the balancer that received the first packet after
// the opening has the correct token, whatever others announce.
func TestAnnouncementDoesNotReplaceOwnObservation(t *testing.T) {
	is := is.New(t)
	table := New(DefaultSettings())
	table.TrackAmbiguous(0, 1, opening)
	table.Resolve(1, 1, accepted, 1000)
	is.Equal(len(table.AddAnnounced(2, []Flow{{ID: 1, OpeningID: opening, Token: late, Acknowledged: 1000}})), 0)
	is.Equal(table.Resolve(3, 1, accepted, 1000), accepted)
}

// TestAnnouncementsAreBounded checks the limits of one announcement and of the schedule.
func TestAnnouncementsAreBounded(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	settings.BatchSize, settings.MaxAnnouncements = 4, 12
	table := New(settings)
	for id := range lb.FlowID(8) {
		table.RecordOpenFlow(0, Flow{ID: id})
	}
	is.Equal(table.Stats().Unannounced, uint64(4))
	is.Equal(table.Announcements(0), []Flow{{ID: 0}, {ID: 1}, {ID: 2}, {ID: 3}})
	is.Equal(len(table.Announcements(settings.RepeatTime)), 4)
	is.Equal(len(table.Announcements(settings.RepeatTime)), 4)
	is.Equal(len(table.Announcements(time.Hour)), 0)
}

// TestRecentFlowsAreReturned checks that a starting balancer receives open flows of the last
// RecentTime only.
func TestRecentFlowsAreReturned(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	table := New(settings)
	table.RecordOpenFlow(0, Flow{ID: 1, Token: accepted})
	table.RecordOpenFlow(settings.RecentTime, Flow{ID: 2, Token: accepted})
	table.TrackAmbiguous(settings.RecentTime, 3, opening)
	table.Resolve(settings.RecentTime+time.Second, 1, accepted, 0)
	is.Equal(table.Recent(settings.RecentTime+time.Second), []Flow{{ID: 2, Token: accepted}})
}
