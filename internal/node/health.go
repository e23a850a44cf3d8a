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

// Times between two reports of health and load: often enough for slow steps of
// weights, seldom enough for the byte budget. Openings that were not answered
// are told sooner.
const (
	loadInterval       = 4 * time.Second
	unansweredInterval = time.Second
)

// probeTargets holds the probe URLs of the back ends, as the watch of the
// store gives them. Only watchers know them, so that only watchers probe.
type probeTargets struct {
	urls map[lb.BackendName]string
}

// apply takes what the watch gave and tells whether there may be a change.
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
		// An invalid document is reported by the publisher.
		if backend, err := catalog.DecodeBackend(document.Key, document.Value); err == nil && backend.Probe != "" {
			targets.urls[name] = backend.Probe
		}
	}
	return changed
}

func backendOfKey(key string) (lb.BackendName, bool) {
	name, found := strings.CutPrefix(key, catalog.BackendPrefix)
	return lb.BackendName(name), found
}

// list gives the targets in no particular order.
func (targets *probeTargets) list() []health.Target {
	list := make([]health.Target, 0, len(targets.urls))
	for name, url := range targets.urls {
		list = append(list, health.Target{Backend: name, URL: url})
	}
	return list
}

// newProber makes the prober of the settings.
func newProber(settings *config.Settings, evidence func() []health.Evidence) (*health.Prober, error) {
	options := health.Options{Settings: health.DefaultSettings(), Evidence: evidence}
	options.Settings.Interval = settings.Health.Interval
	options.Settings.Timeout = settings.Health.Timeout
	return health.NewProber(options)
}

// reportLoad reports health, load and evidence until ctx ends.
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

// hasUnanswered tells whether some back end has lately left openings unanswered.
func (engine *engine) hasUnanswered() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.evidence.judge(engine.now())
	return engine.evidence.hasUnanswered()
}

// takeEvidence gives what the data path has shown since the last call.
func (engine *engine) takeEvidence() []health.Evidence {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.evidence.judge(engine.now())
	return engine.evidence.take(engine.gossip.Placement)
}

// reportLoad tells the publishers, of which this node may be one.
func (engine *engine) reportLoad(loads []message.BackendLoad) {
	engine.input(func() {
		for start := 0; start < len(loads); start += loadsPerMessage {
			batch := loads[start:min(start+loadsPerMessage, len(loads))]
			for _, publisher := range engine.publishers() {
				engine.send(publisher, message.Load{Zone: engine.settings.Zone, Backends: batch})
			}
		}
	})
}

// loadsPerMessage keeps a message within a datagram for names of up to 60 bytes.
const loadsPerMessage = 8

// publishers gives the nodes that watch the store.
func (engine *engine) publishers() []lb.NodeID {
	var ids []lb.NodeID
	for _, watcher := range rendezvous.Watchers(stayingCandidates(engine.directory.list())) {
		ids = append(ids, watcher.ID)
	}
	return ids
}
