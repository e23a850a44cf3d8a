package node

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/health"
	"robinpulley.example/robinpulley/internal/lb"
)

// Limits of the opening monitor.
const (
	// answerWindow is how long an opening is monitored for a retransmission. TCP retransmits an
	// unanswered SYN after 1 s (RFC 6298, section 2.1).
	answerWindow = 2 * time.Second
	// minRetransmitInterval is the minimum time after which a copy of an opening counts as a
	// retransmission. Earlier copies are duplicates made by the network.
	minRetransmitInterval = 500 * time.Millisecond
	// maxMonitoredOpenings limits the number of monitored openings. Further openings are not
	// monitored.
	maxMonitoredOpenings = 4096
)

// openingMonitor monitors the openings that this node forwards. It detects a back end that does not
// answer by the retransmissions of its clients, independently of what the back end's health check
// returns.
type openingMonitor struct {
	monitored map[openingKey]*monitoredOpening
	byAge     []*monitoredOpening // oldest first
	counts    map[placedBackend]*health.OpeningCounts
}

// openingKey identifies an opening. A later flow with the same 5-tuple has another ID.
type openingKey struct {
	flow lb.FlowID
	id   uint32
}

// placedBackend identifies a back end in the placement of a service.
type placedBackend struct {
	service lb.ServiceName
	backend lb.BackendID
}

// monitoredOpening is a forwarded opening within its answer window.
type monitoredOpening struct {
	key           openingKey
	backend       placedBackend
	forwardedAt   time.Duration
	retransmitted bool
}

func newOpeningMonitor() openingMonitor {
	return openingMonitor{
		monitored: make(map[openingKey]*monitoredOpening),
		counts:    make(map[placedBackend]*health.OpeningCounts),
	}
}

// recordDecision records the decision on a packet, if it forwards an opening.
func (monitor *openingMonitor) recordDecision(now time.Duration, packet *core.Packet, decision *core.Decision) {
	if packet.Kind != core.PacketOpening || decision.Action != core.ActionForward {
		return
	}
	key := openingKey{flow: packet.Key.ID(), id: packet.OpeningID}
	if existing := monitor.monitored[key]; existing != nil {
		existing.retransmitted = existing.retransmitted || now-existing.forwardedAt >= minRetransmitInterval
		return
	}
	if len(monitor.byAge) >= maxMonitoredOpenings {
		return
	}
	added := &monitoredOpening{key: key, backend: placedBackend{decision.Service, decision.Backend}, forwardedAt: now}
	monitor.monitored[key] = added
	monitor.byAge = append(monitor.byAge, added)
}

// countExpired counts the openings whose answer window has ended, and stops monitoring them.
func (monitor *openingMonitor) countExpired(now time.Duration) {
	done := 0
	for done < len(monitor.byAge) && now-monitor.byAge[done].forwardedAt >= answerWindow {
		expired := monitor.byAge[done]
		done++
		delete(monitor.monitored, expired.key)
		count := monitor.counts[expired.backend]
		if count == nil {
			count = new(health.OpeningCounts)
			monitor.counts[expired.backend] = count
		}
		count.Openings++
		if expired.retransmitted {
			count.Unanswered++
		}
	}
	monitor.byAge = slices.Delete(monitor.byAge, 0, done)
}

// hasUnanswered reports whether any counted opening was not answered.
func (monitor *openingMonitor) hasUnanswered() bool {
	for _, count := range monitor.counts {
		if count.Unanswered > 0 {
			return true
		}
	}
	return false
}

// collect returns the counts since the last call, ordered by back end name.
func (monitor *openingMonitor) collect(placementOf func(lb.ServiceName) *lb.Placement) []health.OpeningCounts {
	var list []health.OpeningCounts
	for placed, count := range monitor.counts {
		if name, found := backendName(placementOf(placed.service), placed.backend); found {
			count.Backend = name
			list = append(list, *count)
		}
	}
	clear(monitor.counts)
	slices.SortFunc(list, func(a, b health.OpeningCounts) int { return cmp.Compare(a.Backend, b.Backend) })
	return mergeByBackend(list)
}

// mergeByBackend adds up the counts of several services for the same back end.
func mergeByBackend(sorted []health.OpeningCounts) []health.OpeningCounts {
	var merged []health.OpeningCounts
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

// backendName returns the name of a back end in a placement, which may be nil.
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
