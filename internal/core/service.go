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

// service is the state of one service at this node.
type service struct {
	name  lb.ServiceName
	key   rendezvous.Key
	table *placement.Table
	// frontendKeys are the front ends of table.
	frontendKeys []lb.FrontendKey
	// frontendsSince is when they last changed.
	frontendsSince time.Duration
	admission      limiter
	admissionRate  int64 // tokens a second that admission was made for
	// headedBuckets is the number headed by this node as of Core.chainChanges headedAt.
	headedBuckets int
	headedAt      uint64
	// historySince is when the base, or the buckets with history, last changed
	// but by clearing.
	historySince time.Duration
	// currentSince is when new flows last began to go by another generation.
	currentSince time.Duration
	// buckets are those of which something is held.
	buckets map[uint16]*bucket
}

// bucket is what this node holds of one bucket of a service.
type bucket struct {
	group   *group
	records flowTable
	pins    *flowTable // hints of heads, at an ingress
	known   *flowTable // UDP flows seen by this node as ingress, with their back end
}

// record gives the record of a flow, or nil.
func (bucket *bucket) record(flow lb.FlowID) *record {
	if bucket == nil {
		return nil
	}
	return bucket.records.get(flow)
}

// ensureBucket gives a bucket, a new one if nothing is held of it yet.
func (core *Core) ensureBucket(service *service, index uint16) *bucket {
	if found := service.buckets[index]; found != nil {
		return found
	}
	added := &bucket{group: core.groupOf(service, index)}
	service.buckets[index] = added
	core.bucketCount++
	return added
}

// forgetEmpty drops a bucket of which nothing is held any more.
func (core *Core) forgetEmpty(service *service, index uint16) {
	bucket := service.buckets[index]
	if bucket != nil && bucket.records.count == 0 && bucket.pins == nil && bucket.known == nil {
		delete(service.buckets, index)
		core.bucketCount--
	}
}

// indexes lists the buckets of which something is held, in order.
func (service *service) indexes() []uint16 { return slices.Sorted(maps.Keys(service.buckets)) }

// each visits the buckets of which something is held, in order.
func (service *service) each(visit func(index uint16, bucket *bucket)) {
	for _, index := range service.indexes() {
		visit(index, service.buckets[index])
	}
}

// stateless tells whether flows of the bucket need no record.
func stateless(table *placement.Table, index uint16) bool {
	return !table.InMotion(index) && !table.HasHistory(index)
}

// adopt takes a placement if its version is higher than the one in force.
func (core *Core) adopt(document *lb.Placement) {
	known := core.services[document.Service]
	if known != nil && !core.newer(known, document) {
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
		core.handOverKnown(known, previous)
	}
}

// newer tells whether the document replaces the one in force.
func (core *Core) newer(known *service, document *lb.Placement) bool {
	if core.off.noMonotoneVersion {
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
	position, _ := slices.BinarySearchFunc(core.ordered, name, func(known *service, name lb.ServiceName) int {
		return cmp.Compare(known.name, name)
	})
	core.ordered = slices.Insert(core.ordered, position, added)
	added.headedAt = core.chainChanges - 1 // not counted yet
	return added
}

func (core *Core) setTable(known *service, table *placement.Table) {
	if gainsHistory(known.table, table) {
		known.historySince = core.now
	}
	if known.table == nil || currentGeneration(known.table) != currentGeneration(table) {
		known.currentSince = core.now
	}
	known.table = table
	keys := documentKeys(table.Document())
	if slices.Equal(keys, known.frontendKeys) {
		return
	}
	previous := known.frontendKeys
	known.frontendKeys = keys
	known.frontendsSince = core.now
	for _, key := range previous {
		core.indexFrontend(key)
	}
	for _, key := range keys {
		core.claimFrontend(known, key)
	}
}

// currentGeneration gives the version that introduced the generation for new flows.
func currentGeneration(table *placement.Table) lb.Version {
	document := table.Document()
	return document.Generations[document.Current].Version
}

// gainsHistory tells whether the base, or any bucket's history, is new in a table.
func gainsHistory(previous, next *placement.Table) bool {
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

// documentKeys gives the front ends of a document; a deleted service has none.
func documentKeys(document *lb.Placement) []lb.FrontendKey {
	if document.Deleted {
		return nil
	}
	keys := make([]lb.FrontendKey, 0, len(document.Frontends))
	for index := range document.Frontends {
		keys = append(keys, document.Frontends[index].Key())
	}
	return keys
}

// claimFrontend indexes a front end of a service. One that two services claim
// goes to the first by name, at every node.
func (core *Core) claimFrontend(claimant *service, key lb.FrontendKey) {
	owner := core.frontends[key]
	if owner == nil || claimant.name < owner.name {
		core.frontends[key] = claimant
	}
}

// indexFrontend finds the service of a front end that another one has given up.
func (core *Core) indexFrontend(key lb.FrontendKey) {
	delete(core.frontends, key)
	for _, known := range core.ordered {
		if slices.Contains(known.frontendKeys, key) {
			core.frontends[key] = known
			return
		}
	}
}
