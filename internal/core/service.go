package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// service is this node's state of one service.
type service struct {
	name  lb.ServiceName
	key   rendezvous.Key
	table *placement.Table
	// frontendKeys are the keys of the front ends in table.
	frontendKeys []lb.FrontendKey
	// frontendsChangedAt is when frontendKeys last changed.
	frontendsChangedAt time.Duration
	admission          limiter
	admissionRate      int64 // rate of admission, in tokens per second
	// headedBuckets caches the number of buckets that this node heads. It is valid while
	// headedAtChange equals Core.chainChanges.
	headedBuckets  int
	headedAtChange uint64
	// historyChangedAt is when the base last changed or a bucket last gained history.
	historyChangedAt time.Duration
	// generationChangedAt is when the generation for new flows last changed.
	generationChangedAt time.Duration
	// buckets are the buckets with state.
	buckets map[uint16]*bucket
}

// bucket is this node's state of one bucket of a service.
type bucket struct {
	group    *group
	records  flowTable
	pins     *flowTable // back ends of flows as sent by heads, for use as ingress
	knownUDP *flowTable // UDP flows seen by this node as ingress, with their back ends
}

// record returns the record of a flow, or nil.
func (bucket *bucket) record(flow lb.FlowID) *record {
	if bucket == nil {
		return nil
	}
	return bucket.records.get(flow)
}

// ensureBucket returns a bucket and creates it if this node has no state of it yet.
func (core *Core) ensureBucket(service *service, index uint16) *bucket {
	if found := service.buckets[index]; found != nil {
		return found
	}
	added := &bucket{group: core.groupOf(service, index)}
	service.buckets[index] = added
	core.bucketCount++
	return added
}

// forgetEmpty removes a bucket that has no state left.
func (core *Core) forgetEmpty(service *service, index uint16) {
	bucket := service.buckets[index]
	if bucket != nil && bucket.records.count == 0 && bucket.pins == nil && bucket.knownUDP == nil {
		delete(service.buckets, index)
		core.bucketCount--
	}
}

// bucketIndexes returns the indexes of the buckets with state, in ascending order.
func (service *service) bucketIndexes() []uint16 { return slices.Sorted(maps.Keys(service.buckets)) }

// eachBucket calls visit for each bucket with state, in ascending order of indexes.
func (service *service) eachBucket(visit func(index uint16, bucket *bucket)) {
	for _, index := range service.bucketIndexes() {
		visit(index, service.buckets[index])
	}
}

// needsNoRecords reports whether the placement table alone determines the back ends of the bucket's
// flows.
func needsNoRecords(table *placement.Table, index uint16) bool {
	return !table.InMotion(index) && !table.HasHistory(index)
}

// applyPlacement applies a placement if its version is higher than that of the present one.
func (core *Core) applyPlacement(document *lb.Placement) {
	known := core.services[document.Service]
	if known != nil && !core.isNewer(known, document) {
		return
	}
	table, err := placement.Compile(document)
	if err != nil {
		core.stats.InvalidPlacements++
		return
	}
	core.stats.PlacementsAdopted++
	if known == nil {
		known = core.addService(document.Service)
	}
	previous := known.table
	core.setTable(known, table)
	if previous != nil {
		core.handOverKnownOnMove(known, previous)
	}
}

// isNewer reports whether the document replaces the present one.
func (core *Core) isNewer(known *service, document *lb.Placement) bool {
	if core.disabled.noMonotoneVersion {
		return true
	}
	version := known.table.Version()
	if document.Version == version && document.WriteID != known.table.Document().WriteID {
		core.stats.VersionConflicts++
	}
	return document.Version > version
}

func (core *Core) addService(name lb.ServiceName) *service {
	added := &service{
		name:    name,
		key:     rendezvous.NewKey(string(name)),
		buckets: make(map[uint16]*bucket),
	}
	core.services[name] = added
	position, _ := slices.BinarySearchFunc(core.servicesByName, name, func(known *service, name lb.ServiceName) int {
		return cmp.Compare(known.name, name)
	})
	core.servicesByName = slices.Insert(core.servicesByName, position, added)
	added.headedAtChange = core.chainChanges - 1 // not counted yet
	return added
}

func (core *Core) setTable(known *service, table *placement.Table) {
	if addsHistory(known.table, table) {
		known.historyChangedAt = core.now
	}
	if known.table == nil || currentGeneration(known.table) != currentGeneration(table) {
		known.generationChangedAt = core.now
	}
	known.table = table
	keys := frontendKeys(table.Document())
	if slices.Equal(keys, known.frontendKeys) {
		return
	}
	previous := known.frontendKeys
	known.frontendKeys = keys
	known.frontendsChangedAt = core.now
	for _, key := range previous {
		core.reassignFrontend(key)
	}
	for _, key := range keys {
		core.claimFrontend(known, key)
	}
}

// currentGeneration returns the version that introduced the generation for new flows.
func currentGeneration(table *placement.Table) lb.Version {
	document := table.Document()
	return document.Generations[document.Current].Version
}

// addsHistory reports whether the next table has a new base, or history in a bucket that had none.
func addsHistory(previous, next *placement.Table) bool {
	if previous == nil || previous.Document().Generations[0].Version != next.Document().Generations[0].Version {
		return true
	}
	for index := range uint16(lb.BucketCount) {
		if next.HasHistory(index) && !previous.HasHistory(index) {
			return true
		}
	}
	return false
}

// frontendKeys returns the keys of the front ends of a document. A deleted service has none.
func frontendKeys(document *lb.Placement) []lb.FrontendKey {
	if document.Deleted {
		return nil
	}
	keys := make([]lb.FrontendKey, 0, len(document.Frontends))
	for index := range document.Frontends {
		keys = append(keys, document.Frontends[index].Key())
	}
	return keys
}

// claimFrontend adds a front end of a service to the index. If two services claim it, every node
// assigns it to the first by name.
func (core *Core) claimFrontend(claimant *service, key lb.FrontendKey) {
	owner := core.frontends[key]
	if owner == nil || claimant.name < owner.name {
		core.frontends[key] = claimant
	}
}

// reassignFrontend assigns a front end that its service no longer has to the next service that
// claims it, if any.
func (core *Core) reassignFrontend(key lb.FrontendKey) {
	delete(core.frontends, key)
	for _, known := range core.servicesByName {
		if slices.Contains(known.frontendKeys, key) {
			core.frontends[key] = known
			return
		}
	}
}
