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
	disabled disabledRules
	now      time.Duration
	effects  *Effects

	index           *catalog.Index
	documentKeys    map[string]struct{} // keys of the operators' documents
	seenRevision    int64               // configuration revision up to which all changes are applied
	hasCompleteList bool                // a complete list is applied
	storeUp         bool
	services        map[lb.ServiceName]*service
	// servicesByBackend holds, for each back end, the services whose desired state includes it.
	servicesByBackend map[lb.BackendName]map[*service]struct{}
	// awaitingConfig holds the services whose stored placement reflects a later configuration than
	// this node has seen.
	awaitingConfig map[*service]struct{}
	// deletedOwners holds, for each front end, the deleted service that still has it.
	deletedOwners map[lb.Frontend]*service
	owners        map[lb.Frontend]lb.ServiceName // existing services by front end
	backends      map[lb.BackendName]*weight.Backend

	view        membershipView
	urgent      dueQueue
	background  dueQueue
	epoch       epoch
	outstanding int
	deadlines   dueQueue // of outstanding writes, by service
	writeCount  uint64   // used to number write IDs

	// unreflected holds, for each service whose placement does not yet reflect the configuration,
	// the first configuration revision that the placement lacks.
	unreflected   map[lb.ServiceName]int64
	lastPublished int64 // last result of PublishedRevision
	status        statusReport
}

// New returns a controller with the given settings and no state.
func New(settings Settings) *Controller {
	return &Controller{
		settings:          settings,
		index:             catalog.NewIndex(),
		documentKeys:      make(map[string]struct{}),
		awaitingConfig:    make(map[*service]struct{}),
		services:          make(map[lb.ServiceName]*service),
		servicesByBackend: make(map[lb.BackendName]map[*service]struct{}),
		deletedOwners:     make(map[lb.Frontend]*service),
		owners:            make(map[lb.Frontend]lb.ServiceName),
		backends:          make(map[lb.BackendName]*weight.Backend),
		unreflected:       make(map[lb.ServiceName]int64),
		urgent:            dueQueue{kind: queueUrgent},
		background:        dueQueue{kind: queueBackground},
		deadlines:         dueQueue{kind: queueDeadline},
	}
}

// Step applies one event at the time now and fills effects. If now is earlier than in a previous
// call, the controller keeps the previous time.
func (c *Controller) Step(now time.Duration, event *Event, effects *Effects) {
	*effects = Effects{
		Writes:     effects.Writes[:0],
		Reads:      effects.Reads[:0],
		Placements: effects.Placements[:0],
		Problems:   effects.Problems[:0],
	}
	c.now = max(now, c.now)
	c.effects = effects
	c.dispatch(event)
	c.expireWrites()
	c.processDue()
	c.effects = nil
}

// dispatch passes the event to the method that applies it.
func (c *Controller) dispatch(event *Event) {
	switch {
	case event.Documents != nil:
		c.applyDocuments(event.Documents)
	case event.Result != nil:
		c.applyWriteResult(event.Result)
	case event.ReadBack != nil:
		c.applyReadBack(event.ReadBack)
	case event.Store == StoreDown:
		c.storeUp = false
	case event.Store == StoreUp:
		c.applyStoreUp()
	case event.Members != nil:
		c.applyMembers(event.Members)
	case event.InForce != nil:
		c.applyInForce(event.InForce)
	case event.Clean != nil:
		c.applyClean(event.Clean)
	case event.Load != nil:
		c.applyLoad(event.Load)
	}
}

// processDue processes the services that are due, those with operators' changes first.
func (c *Controller) processDue() {
	if !c.mayPublish() {
		return
	}
	c.requestEpochChange()
	for c.outstanding < c.settings.MaxOutstanding {
		service := c.urgent.pop(c.now)
		if service == nil {
			break
		}
		c.process(service, false)
	}
	for c.outstanding < c.settings.MaxBackground {
		service := c.background.pop(c.now)
		if service == nil {
			break
		}
		c.process(service, true)
	}
}

// mayPublish reports whether this node may publish placements.
func (c *Controller) mayPublish() bool {
	return c.storeUp && c.hasCompleteList && c.view.publisher
}

// process starts the write that is due for the service, or schedules the service for the time at
// which its next write will be due.
func (c *Controller) process(service *service, background bool) {
	if service.pending != nil {
		return // the result of the pending write schedules the service again
	}
	c.adoptInForce(service)
	next, found := c.propose(service)
	switch {
	case !found:
	case next.due > c.now:
		c.scheduleAt(service, next.due, next.background)
	case next.background && !background:
		c.background.schedule(service, c.now)
	default:
		c.startWrite(service, next)
	}
}

// scheduleAt schedules the service to be processed no later than the given time.
func (c *Controller) scheduleAt(service *service, at time.Duration, background bool) {
	if background {
		c.background.schedule(service, at)
		return
	}
	c.urgent.schedule(service, at)
}

// scheduleNow schedules the service to be processed in this step.
func (c *Controller) scheduleNow(service *service) { c.urgent.schedule(service, c.now) }
