package health

import (
	"math"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// openingCountsOnlyAge is the age of a report that carries only opening counts: it is too old for
// its health and load to be used.
const openingCountsOnlyAge = math.MaxUint32

// OpeningCounts holds the numbers of openings that the data path has observed for a back end since
// the last report.
type OpeningCounts struct {
	Backend  lb.BackendName
	Openings uint32
	// Unanswered counts the openings that clients retransmitted.
	Unanswered uint32
}

// Report returns the reports that became available since the last call: answers of back ends, and
// opening counts. Counts without unanswered openings are added only to reports that are sent
// anyway, to stay within the budget for control traffic.
func (scheduler *Scheduler) Report(now time.Duration, openingCounts []OpeningCounts) []message.BackendLoad {
	var loads []message.BackendLoad
	for _, state := range scheduler.targets {
		if !state.unreported {
			continue
		}
		state.unreported = false
		loads = append(loads, state.report(now))
	}
	for _, counts := range openingCounts {
		loads = addOpeningCounts(loads, counts)
	}
	return loads
}

func (state *targetState) report(now time.Duration) message.BackendLoad {
	return message.BackendLoad{
		Backend:   state.Backend,
		Healthy:   state.answer.Healthy,
		Load:      state.answer.Load,
		AgeMillis: milliseconds(now - state.measuredAt),
	}
}

func milliseconds(age time.Duration) uint32 {
	return uint32(min(max(age.Milliseconds(), 0), math.MaxUint32))
}

func addOpeningCounts(loads []message.BackendLoad, counts OpeningCounts) []message.BackendLoad {
	for index := range loads {
		if loads[index].Backend == counts.Backend {
			loads[index].Openings += counts.Openings
			loads[index].UnansweredOpenings += counts.Unanswered
			return loads
		}
	}
	if counts.Unanswered == 0 {
		return loads
	}
	return append(loads, message.BackendLoad{
		Backend:            counts.Backend,
		AgeMillis:          openingCountsOnlyAge,
		Openings:           counts.Openings,
		UnansweredOpenings: counts.Unanswered,
	})
}
