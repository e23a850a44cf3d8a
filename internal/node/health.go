package node

import (
	"context"
	"strings"
	"time"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/config"
	"robinpulley.example/robinpulley/internal/controller"
	"robinpulley.example/robinpulley/internal/health"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// Times between two reports of health and load. loadInterval is short enough for the slow steps in
// which weights change, and long enough for the byte budget. Unanswered openings are reported after
// unansweredInterval.
const (
	loadInterval       = 4 * time.Second
	unansweredInterval = time.Second
)

// probeTargets holds the probe URLs of the back ends, which the watch of the store delivers. Only
// watchers have them, so that only watchers send probes.
type probeTargets struct {
	urls map[lb.BackendName]string
}

// apply applies documents from the watch of the store, and reports whether the targets may have
// changed.
func (targets *probeTargets) apply(documents *controller.Documents) bool {
	if documents.Complete || targets.urls == nil {
		targets.urls = make(map[lb.BackendName]string)
	}
	changed := documents.Complete
	for index := range documents.Changes {
		document := &documents.Changes[index]
		name, isBackend := backendOfKey(document.Key)
		if !isBackend {
			continue
		}
		changed = true
		delete(targets.urls, name)
		if document.Deleted {
			continue
		}
		// The controller reports invalid documents.
		if backend, err := catalog.DecodeBackend(document.Key, document.Value); err == nil && backend.Probe != "" {
			targets.urls[name] = backend.Probe
		}
	}
	return changed
}

// backendOfKey returns the name of the back end whose document a key in the store refers to.
func backendOfKey(key string) (lb.BackendName, bool) {
	name, found := strings.CutPrefix(key, catalog.BackendPrefix)
	return lb.BackendName(name), found
}

// list returns the targets in no particular order.
func (targets *probeTargets) list() []health.Target {
	list := make([]health.Target, 0, len(targets.urls))
	for name, url := range targets.urls {
		list = append(list, health.Target{Backend: name, URL: url})
	}
	return list
}

// newProber creates a prober with the interval and timeout of the settings.
func newProber(settings *config.Settings, openingCounts func() []health.OpeningCounts) (*health.Prober, error) {
	options := health.Options{Settings: health.DefaultSettings(), OpeningCounts: openingCounts}
	options.Settings.Interval = settings.Health.Interval
	options.Settings.Timeout = settings.Health.Timeout
	return health.NewProber(options)
}

// reportLoad reports the health and load of back ends to the publishers until ctx ends.
func (node *Node) reportLoad(ctx context.Context) {
	ticker := time.NewTicker(unansweredInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if time.Since(last) >= loadInterval || node.engine.hasUnanswered() {
			last = time.Now()
			node.engine.reportLoad(node.prober.Report())
		}
	}
}

// hasUnanswered reports whether a back end has left openings unanswered since the last report.
func (engine *engine) hasUnanswered() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.openings.countExpired(engine.now())
	return engine.openings.hasUnanswered()
}

// collectOpeningCounts returns the numbers of forwarded and unanswered openings per back end since
// the last call.
func (engine *engine) collectOpeningCounts() []health.OpeningCounts {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.openings.countExpired(engine.now())
	return engine.openings.collect(engine.gossip.Placement)
}

// reportLoad sends the loads to the publishers, of which this node may be one.
func (engine *engine) reportLoad(loads []message.BackendLoad) {
	engine.runInput(func() {
		for start := 0; start < len(loads); start += loadsPerMessage {
			batch := loads[start:min(start+loadsPerMessage, len(loads))]
			for _, publisher := range engine.publishers() {
				engine.send(publisher, message.Load{Zone: engine.settings.Zone, Backends: batch})
			}
		}
	})
}

// loadsPerMessage is the maximum number of back ends in a message. With names of up to 60 bytes
// such a message fits into a datagram.
const loadsPerMessage = 8

// publishers returns the IDs of the nodes that watch the store, which also publish placements.
func (engine *engine) publishers() []lb.NodeID {
	var ids []lb.NodeID
	for _, watcher := range rendezvous.Watchers(stayingCandidates(engine.directory.list())) {
		ids = append(ids, watcher.ID)
	}
	return ids
}
