package controller

import (
	"time"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/weight"
)

// Controller is the publisher of one node. It is not safe for concurrent use.
type Controller struct {
	settings Settings
	off      rules
	now      time.Duration
	effects  *Effects

	index     *catalog.Index
	documents map[string]struct{} // keys of the operators' documents
	seen      int64               // configuration revision up to which everything was taken in
	listed    bool                // a complete list was taken in
	storeUp   bool
	services  map[lb.ServiceName]*service
	// serving lists the services that want each back end.
	serving map[lb.BackendName]map[*service]struct{}
	// lagging services wait for configuration that others have seen.
	lagging map[*service]struct{}
	// retired gives the deleted service that still has a front end.
	retired  map[lb.Frontend]*service
	owners   map[lb.Frontend]lb.ServiceName // of the services that exist
	backends map[lb.BackendName]*weight.Backend

	view        view
	urgent      agenda
	background  agenda
	epoch       epoch
	outstanding int
	deadlines   agenda // of outstanding writes
	writes      uint64 // numbers write ids

	// unreflected holds, for each service whose placement does not yet
	// reflect the configuration, the first revision that it misses.
	unreflected map[lb.ServiceName]int64
	published   int64 // what PublishedRevision last gave
	status      statusReport
}

// New gives a controller that knows nothing yet.
func New(settings Settings) *Controller {
	return &Controller{
		settings:    settings,
		index:       catalog.NewIndex(),
		documents:   make(map[string]struct{}),
		lagging:     make(map[*service]struct{}),
		services:    make(map[lb.ServiceName]*service),
		serving:     make(map[lb.BackendName]map[*service]struct{}),
		retired:     make(map[lb.Frontend]*service),
		owners:      make(map[lb.Frontend]lb.ServiceName),
		backends:    make(map[lb.BackendName]*weight.Backend),
		unreflected: make(map[lb.ServiceName]int64),
		urgent:      agenda{slot: slotUrgent},
		background:  agenda{slot: slotBackground},
		deadlines:   agenda{slot: slotDeadline},
	}
}

// Step takes one event at the time now, which never goes back, and fills effects.
func (c *Controller) Step(now time.Duration, event *Event, effects *Effects) {
	*effects = Effects{
		Writes:     effects.Writes[:0],
		Reads:      effects.Reads[:0],
		Placements: effects.Placements[:0],
		Problems:   effects.Problems[:0],
	}
	c.now = max(now, c.now)
	c.effects = effects
	c.take(event)
	c.expireWrites()
	c.work()
	c.effects = nil
}

// take hands the event to its part.
func (c *Controller) take(event *Event) {
	switch {
	case event.Documents != nil:
		c.takeDocuments(event.Documents)
	case event.Result != nil:
		c.takeResult(event.Result)
	case event.ReadBack != nil:
		c.takeReadBack(event.ReadBack)
	case event.Store == StoreDown:
		c.storeUp = false
	case event.Store == StoreUp:
		c.storeReturned()
	case event.Members != nil:
		c.takeMembers(event.Members)
	case event.InForce != nil:
		c.takeInForce(event.InForce)
	case event.Clean != nil:
		c.takeClean(event.Clean)
	case event.Load != nil:
		c.takeLoad(event.Load)
	}
}

// work considers the services whose time has come, operators' changes first.
func (c *Controller) work() {
	if !c.mayPublish() {
		return
	}
	c.confirmEpoch()
	for c.outstanding < c.settings.MaxOutstanding {
		service := c.urgent.pop(c.now)
		if service == nil {
			break
		}
		c.consider(service, false)
	}
	for c.outstanding < c.settings.MaxBackground {
		service := c.background.pop(c.now)
		if service == nil {
			break
		}
		c.consider(service, true)
	}
}

// mayPublish tells whether this node is to publish at all.
func (c *Controller) mayPublish() bool {
	return c.storeUp && c.listed && c.view.publisher
}

// consider does what is due for the service, or notes when something will be.
func (c *Controller) consider(service *service, background bool) {
	if service.pending != nil {
		return // its result brings the service back
	}
	c.recall(service)
	next, found := c.propose(service)
	switch {
	case !found:
	case next.due > c.now:
		c.touch(service, next.due, next.background)
	case next.background && !background:
		c.background.put(service, c.now)
	default:
		c.write(service, next)
	}
}

// touch makes sure that the service is considered at the given time.
func (c *Controller) touch(service *service, at time.Duration, background bool) {
	if background {
		c.background.put(service, at)
		return
	}
	c.urgent.put(service, at)
}

// reconsider makes sure that the service is considered in this step.
func (c *Controller) reconsider(service *service) { c.urgent.put(service, c.now) }
