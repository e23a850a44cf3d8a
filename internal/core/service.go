package core

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// frontendKey is a front end in the form found in packets.
type frontendKey struct {
	address  [16]byte
	port     uint16
	protocol lb.Protocol
}

func newFrontendKey(frontend *lb.Frontend) frontendKey {
	return frontendKey{
		address:  frontend.Address.Addr().As16(),
		port:     frontend.Address.Port(),
		protocol: frontend.Protocol,
	}
}

// service is the state of one service at this node.
type service struct {
	name  lb.ServiceName
	key   rendezvous.Key
	table *placement.Table
	// frontendKeys are the front ends of table.
	frontendKeys []frontendKey
	// frontendsSince is when they last changed.
	frontendsSince time.Duration
	admission      limiter
	admissionRate  int64 // tokens a second that admission was made for
	headed         int   // buckets headed by this node
	buckets        []bucket
}

// bucket is the state of one bucket of a service at this node.
type bucket struct {
	chain       chain
	memberSince time.Duration // notInChain outside the chain
	leftStamp   stamp         // when this node last left the chain
	leftBefore  stamp         // when it left the time before
	tailSince   stamp         // answers of the present tail are later than this
	records     flowTable
	pins        *flowTable // hints of heads, at an ingress
	known       *flowTable // UDP flows seen by this node as ingress, with their back end
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
		buckets: make([]bucket, lb.BucketCount),
	}
	core.services[name] = added
	position, _ := slices.BinarySearchFunc(core.ordered, name, func(known *service, name lb.ServiceName) int {
		return cmp.Compare(known.name, name)
	})
	core.ordered = slices.Insert(core.ordered, position, added)
	for index := range added.buckets {
		added.buckets[index].memberSince = notInChain
		core.setChain(added, uint16(index), core.rank(added.key.BucketKey(uint16(index))))
	}
	return added
}

func (core *Core) setTable(known *service, table *placement.Table) {
	known.table = table
	keys := documentKeys(table.Document())
	if !slices.Equal(keys, known.frontendKeys) {
		known.frontendKeys = keys
		known.frontendsSince = core.now
		core.indexFrontends()
	}
}

// documentKeys gives the front ends of a document; a deleted service has none.
func documentKeys(document *lb.Placement) []frontendKey {
	if document.Deleted {
		return nil
	}
	keys := make([]frontendKey, 0, len(document.Frontends))
	for index := range document.Frontends {
		keys = append(keys, newFrontendKey(&document.Frontends[index]))
	}
	return keys
}

// indexFrontends rebuilds the index of front ends. One that two services claim
// goes to the first by name, at every node.
func (core *Core) indexFrontends() {
	clear(core.frontends)
	for _, known := range slices.Backward(core.ordered) {
		for _, key := range known.frontendKeys {
			core.frontends[key] = known
		}
	}
}
