package node

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/health"
	"robinpulley.example/robinpulley/internal/lb"
)

// Limits of the evidence.
const (
	// evidenceWindow is how long an opening is watched for a repetition. TCP
	// repeats an opening that is not answered after 1 s (RFC 6298, section 2.1).
	evidenceWindow = 2 * time.Second
	// evidenceRepeat sets repetitions apart from duplicates made on the way.
	evidenceRepeat = 500 * time.Millisecond
	// evidenceOpenings bounds the openings watched; more are left out.
	evidenceOpenings = 4096
)

// evidence watches the openings that this node forwards: a back end that does
// not answer shows by its callers' repetitions, whatever it reports of itself.
type evidence struct {
	watched map[openingKey]*opening
	order   []*opening // oldest first
	counts  map[placedBackend]*health.Evidence
}

// openingKey tells openings apart, new ones of a 5-tuple included.
type openingKey struct {
	flow lb.FlowID
	id   uint32
}

type placedBackend struct {
	service lb.ServiceName
	backend lb.BackendID
}

type opening struct {
	key      openingKey
	backend  placedBackend
	at       time.Duration
	repeated bool
}

func newEvidence() evidence {
	return evidence{
		watched: make(map[openingKey]*opening),
		counts:  make(map[placedBackend]*health.Evidence),
	}
}

// note takes a decision on an opening.
func (evidence *evidence) note(now time.Duration, packet *core.Packet, decision *core.Decision) {
	if packet.Kind != core.PacketOpening || decision.Action != core.ActionForward {
		return
	}
	key := openingKey{flow: packet.Key.ID(), id: packet.OpeningID}
	if known := evidence.watched[key]; known != nil {
		known.repeated = known.repeated || now-known.at >= evidenceRepeat
		return
	}
	if len(evidence.order) >= evidenceOpenings {
		return
	}
	added := &opening{key: key, backend: placedBackend{decision.Service, decision.Backend}, at: now}
	evidence.watched[key] = added
	evidence.order = append(evidence.order, added)
}

// judge counts the openings that have been watched for long enough.
func (evidence *evidence) judge(now time.Duration) {
	done := 0
	for done < len(evidence.order) && now-evidence.order[done].at >= evidenceWindow {
		judged := evidence.order[done]
		done++
		delete(evidence.watched, judged.key)
		count := evidence.counts[judged.backend]
		if count == nil {
			count = new(health.Evidence)
			evidence.counts[judged.backend] = count
		}
		count.Openings++
		if judged.repeated {
			count.Unanswered++
		}
	}
	evidence.order = slices.Delete(evidence.order, 0, done)
}

// hasUnanswered tells whether any counted opening was not answered.
func (evidence *evidence) hasUnanswered() bool {
	for _, count := range evidence.counts {
		if count.Unanswered > 0 {
			return true
		}
	}
	return false
}

// take gives the counts since the last call, by back end name.
func (evidence *evidence) take(placementOf func(lb.ServiceName) *lb.Placement) []health.Evidence {
	var list []health.Evidence
	for placed, count := range evidence.counts {
		if name, found := backendName(placementOf(placed.service), placed.backend); found {
			count.Backend = name
			list = append(list, *count)
		}
	}
	clear(evidence.counts)
	slices.SortFunc(list, func(a, b health.Evidence) int { return cmp.Compare(a.Backend, b.Backend) })
	return mergeEvidence(list)
}

// mergeEvidence adds up what several services show of one back end.
func mergeEvidence(sorted []health.Evidence) []health.Evidence {
	var merged []health.Evidence
	for _, entry := range sorted {
		last := len(merged) - 1
		if last >= 0 && merged[last].Backend == entry.Backend {
			merged[last].Openings += entry.Openings
			merged[last].Unanswered += entry.Unanswered
			continue
		}
		merged = append(merged, entry)
	}
	return merged
}

// backendName looks up a back end of a placement, which may be nil.
func backendName(placement *lb.Placement, id lb.BackendID) (lb.BackendName, bool) {
	if placement == nil {
		return "", false
	}
	for index := range placement.Backends {
		if placement.Backends[index].ID == id {
			return placement.Backends[index].Name, true
		}
	}
	return "", false
}
