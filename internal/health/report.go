package health

import (
	"math"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// evidenceOnly is the age of a report that carries evidence alone: too old for
// its health and load to count.
const evidenceOnly = math.MaxUint32

// Evidence is what the data path shows of a back end since the last report.
type Evidence struct {
	Backend  lb.BackendName
	Openings uint32
	// Unanswered counts the openings that their callers repeated.
	Unanswered uint32
}

// Report gives what is new since the last call: answers of back ends, and
// evidence. Evidence without unanswered openings is only sent where a report
// goes anyway, to keep within the bytes for control.
func (scheduler *Scheduler) Report(now time.Duration, evidence []Evidence) []message.BackendLoad {
	var loads []message.BackendLoad
	for _, state := range scheduler.targets {
		if !state.news {
			continue
		}
		state.news = false
		loads = append(loads, state.load(now))
	}
	for _, shown := range evidence {
		loads = addEvidence(loads, shown)
	}
	return loads
}

func (state *targetState) load(now time.Duration) message.BackendLoad {
	return message.BackendLoad{
		Backend:   state.Backend,
		Healthy:   state.answer.Healthy,
		Load:      state.answer.Load,
		AgeMillis: milliseconds(now - state.taken),
	}
}

func milliseconds(age time.Duration) uint32 {
	return uint32(min(max(age.Milliseconds(), 0), math.MaxUint32))
}

func addEvidence(loads []message.BackendLoad, shown Evidence) []message.BackendLoad {
	for index := range loads {
		if loads[index].Backend == shown.Backend {
			loads[index].Openings += shown.Openings
			loads[index].UnansweredOpenings += shown.Unanswered
			return loads
		}
	}
	if shown.Unanswered == 0 {
		return loads
	}
	return append(loads, message.BackendLoad{
		Backend:            shown.Backend,
		AgeMillis:          evidenceOnly,
		Openings:           shown.Openings,
		UnansweredOpenings: shown.Unanswered,
	})
}
