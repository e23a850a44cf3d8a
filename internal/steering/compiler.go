package steering

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
	"robinpulley.example/robinpulley/internal/view"
)

// Compiler builds the tables of one balancer, each from the one before: a change of one
// back end costs a look at those of its service, not at all there are. Before 10,000 back
// ends a table that is built anew takes 27 ms of a whole core and 6.4 MB, during which
// packets wait; small machines have a fifth of a core. It is not safe for concurrent use.
type Compiler struct {
	zone  lb.Zone
	table *Table // the last one; nil: none yet
	// hosts are those of the last table, by name.
	hosts    map[lb.BackendName]*Host
	services map[lb.ServiceName]*members
	// passing are the hosts whose place changes with time alone.
	passing map[lb.BackendName]*Host
	// zones counts the hosts by zone.
	zones map[lb.Zone]int
	// routed are the services that routes name, as of a revision of the configuration.
	routed    map[lb.ServiceName]bool
	routedAt  int64
	evacuated map[lb.Zone]bool
	coldRates map[lb.ServiceName]float64
	// twins are hosts of which two have one hash, or one run. Which of them counts is said
	// by a look at all: one pair among 10,000 hosts is found in one fleet of a hundred.
	twins map[lb.BackendName]bool
	// clash: a host has come that has the hash, or the run, of another one.
	clash bool
}

// members are the hosts of one service.
type members struct {
	made []*Host // in the order in which they were made
	ring []*Host // by zone and hash, see Service.Ring
	// stale: the service must be built anew.
	stale bool
}

// NewCompiler gives a compiler for a balancer in a zone.
func NewCompiler(zone lb.Zone) *Compiler { return &Compiler{zone: zone} }

// Compile builds the table of a replica at the time now, for a balancer in zone.
func Compile(replica *view.Replica, zone lb.Zone, now time.Duration) *Table {
	return NewCompiler(zone).whole(replica, now)
}

// Compile builds the table of a replica at the time now. The replica is the same at each call.
func (c *Compiler) Compile(replica *view.Replica, now time.Duration) *Table {
	names, all := replica.Touched()
	twin := func(name lb.BackendName) bool { return c.twins[name] }
	if all || c.table == nil || slices.ContainsFunc(names, twin) || c.rulesChanged(replica) {
		return c.whole(replica, now)
	}
	next := c.table.successor(replica)
	zones := len(c.zones)
	for _, name := range names {
		c.update(next, replica, name, now)
	}
	for name, host := range c.passing {
		if host.until <= now {
			c.update(next, replica, name, now)
		}
	}
	if c.clash {
		return c.whole(replica, now)
	}
	if len(c.zones) != zones {
		c.staleAll()
	}
	c.finish(next, replica)
	return next
}

// rulesChanged tells whether what all hosts are looked at by has changed.
func (c *Compiler) rulesChanged(replica *view.Replica) bool {
	return !maps.Equal(c.evacuated, evacuatedOf(replica)) || !maps.Equal(c.coldRates, replica.ColdRates())
}

func evacuatedOf(replica *view.Replica) map[lb.Zone]bool {
	evacuated := make(map[lb.Zone]bool)
	for _, zone := range replica.Evacuated() {
		evacuated[zone] = true
	}
	return evacuated
}

// whole builds a table from nothing.
func (c *Compiler) whole(replica *view.Replica, now time.Duration) *Table {
	c.clear()
	c.evacuated, c.coldRates = evacuatedOf(replica), replica.ColdRates()
	table := newTable()
	table.noteView(replica)
	c.fill(table, replica.Backends(), now)
	c.finish(table, replica)
	return table
}

func (c *Compiler) clear() {
	*c = Compiler{
		zone:     c.zone,
		hosts:    make(map[lb.BackendName]*Host),
		services: make(map[lb.ServiceName]*members),
		passing:  make(map[lb.BackendName]*Host),
		zones:    make(map[lb.Zone]int),
		twins:    make(map[lb.BackendName]bool),
	}
}

// fill adds all hosts to a table that has none.
func (c *Compiler) fill(table *Table, known []view.Known, now time.Duration) {
	hosts := make([]*Host, len(known))
	for index := range known {
		hosts[index] = c.newHost(&known[index], now)
	}
	slices.SortFunc(hosts, compareMade)
	for _, host := range hosts {
		c.admit(table, host)
	}
	for _, m := range c.services {
		m.ring = slices.Clone(m.made)
		slices.SortFunc(m.ring, compareRing)
	}
}

// admit adds a host that was made after all others. One whose hash an earlier one has
// gets no flows, since their tokens could not be told apart.
func (c *Compiler) admit(table *Table, host *Host) {
	c.zones[host.Zone]++
	c.noteTwins(host, table.byRun.get(host.Run))
	table.byRun.set(host.Run, host)
	if first := table.byHash.get(host.hash); first != nil {
		c.noteTwins(host, first)
		return
	}
	c.enter(table, host)
	m := c.membersOf(host.Service)
	m.made = append(m.made, host)
}

// noteTwins notes two hosts that cannot be told apart; other may be nil.
func (c *Compiler) noteTwins(host, other *Host) {
	if other != nil {
		c.twins[host.Name], c.twins[other.Name] = true, true
	}
}

// enter notes a host in all but the lists of its service.
func (c *Compiler) enter(table *Table, host *Host) {
	c.hosts[host.Name] = host
	if host.until != 0 {
		c.passing[host.Name] = host
	}
	table.byHash.set(host.hash, host)
	if host.restarted && table.byHash.get(host.earlier) == nil {
		table.byHash.set(host.earlier, host)
	}
}

func (c *Compiler) membersOf(service lb.ServiceName) *members {
	known := c.services[service]
	if known == nil {
		known = &members{}
		c.services[service] = known
	}
	known.stale = true
	return known
}

// update brings one host up to date.
func (c *Compiler) update(table *Table, replica *view.Replica, name lb.BackendName, now time.Duration) {
	old := c.hosts[name]
	var next *Host
	if known, found := replica.Backend(name); found {
		next = c.newHost(&known, now)
	}
	if old != nil && next != nil && *old == *next {
		return
	}
	if old != nil {
		c.remove(table, old)
	}
	if next != nil {
		c.add(table, next)
	}
}

func (c *Compiler) remove(table *Table, host *Host) {
	if c.zones[host.Zone]--; c.zones[host.Zone] == 0 {
		delete(c.zones, host.Zone)
	}
	table.byRun.remove(host.Run, host)
	table.byHash.remove(host.hash, host)
	if host.restarted {
		table.byHash.remove(host.earlier, host)
	}
	delete(c.hosts, host.Name)
	delete(c.passing, host.Name)
	m := c.membersOf(host.Service)
	m.made = without(m.made, host, compareMade)
	m.ring = without(m.ring, host, compareRing)
}

func (c *Compiler) add(table *Table, host *Host) {
	c.zones[host.Zone]++
	if table.byRun.get(host.Run) != nil || table.byHash.get(host.hash) != nil {
		c.clash = true
		return
	}
	table.byRun.set(host.Run, host)
	c.enter(table, host)
	m := c.membersOf(host.Service)
	m.made = with(m.made, host, compareMade)
	m.ring = with(m.ring, host, compareRing)
}

// with and without change a sorted list that nothing else shares.
func with(hosts []*Host, host *Host, compare func(a, b *Host) int) []*Host {
	place, _ := slices.BinarySearchFunc(hosts, host, compare)
	return slices.Insert(hosts, place, host)
}

func without(hosts []*Host, host *Host, compare func(a, b *Host) int) []*Host {
	place, found := slices.BinarySearchFunc(hosts, host, compare)
	if !found {
		return hosts
	}
	return slices.Delete(hosts, place, place+1)
}

func compareMade(a, b *Host) int {
	return cmp.Or(cmp.Compare(a.Created, b.Created), cmp.Compare(a.Name, b.Name))
}

func compareRing(a, b *Host) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.around, b.around), cmp.Compare(a.Run, b.Run), cmp.Compare(a.Name, b.Name))
}

func (c *Compiler) staleAll() {
	for _, m := range c.services {
		m.stale = true
	}
}

// finish builds what is stale, once all hosts are up to date.
func (c *Compiler) finish(table *Table, replica *view.Replica) {
	if c.routed == nil || c.routedAt != replica.ConfigurationRevision() {
		c.route(table, replica)
	}
	for name, m := range c.services {
		switch {
		case len(m.made) == 0 && !c.routed[name]:
			delete(c.services, name)
			delete(table.services, name)
		case m.stale:
			table.services[name] = c.build(name, m)
			m.stale = false
		}
	}
	table.zones = maps.Clone(c.zones)
	for _, host := range c.passing {
		if table.expires == 0 || host.until < table.expires {
			table.expires = host.until
		}
	}
	c.table = table
}

// route takes the routes of a configuration.
func (c *Compiler) route(table *Table, replica *view.Replica) {
	routes := replica.Routes()
	c.routed, c.routedAt = make(map[lb.ServiceName]bool), replica.ConfigurationRevision()
	table.frontends = make(map[lb.FrontendKey]*split, len(routes))
	for index := range routes {
		built := newSplit(&routes[index])
		table.frontends[routes[index].Frontend.Key()] = built
		for _, name := range built.services {
			c.routed[name] = true
			if c.services[name] == nil {
				c.membersOf(name)
			}
		}
	}
}

// build builds a service of its hosts.
func (c *Compiler) build(name lb.ServiceName, m *members) *Service {
	service := &Service{Name: name, ColdRate: c.coldRates[name], Ready: make([]*Host, 0, len(m.made))}
	for _, host := range m.made {
		switch host.place {
		case placeEvacuated:
			service.evacuated++
		case placeLapsed:
			service.Lapsed = append(service.Lapsed, host)
			if host.away {
				service.away++
			}
		case placeCold:
			service.Cold = append(service.Cold, host)
		case placeReady:
			service.Ready = append(service.Ready, host)
		}
	}
	service.keepLapsed()
	service.ring = make([]*Host, 0, len(service.Ready))
	for _, host := range m.ring {
		if service.Takes(host) {
			service.ring = append(service.ring, host)
		}
	}
	zones := len(c.zones)
	if c.zones[c.zone] == 0 {
		zones++ // its callers are there all the same
	}
	service.setShares(c.zone, zones)
	service.NeedsCold = lb.TotalSlots(service.zones) < lb.TotalSlots(zonesOf(service.Cold))
	return service
}

// newHost gives a host as it is at a time.
func (c *Compiler) newHost(known *view.Known, now time.Duration) *Host {
	backend := &known.Backend
	host := &Host{
		Backend: *backend, Run: backend.Run(), hash: hashOf(backend.Name, backend.Born),
		rank: xxhash.Sum64String(string(backend.Name)), away: known.Away,
	}
	host.around = rendezvous.Mix(host.Run)
	if known.Earlier != nil {
		host.restarted, host.earlier = true, hashOf(host.Name, known.Earlier.Born)
	}
	c.setPlace(host, known, now)
	return host
}

// setPlace says what a host does for new flows, and until when that holds.
func (c *Compiler) setPlace(host *Host, known *view.Known, now time.Duration) {
	starting := known.ColdUntil > now
	cold := starting && c.coldRates[host.Service] > 0
	lapsed := known.GoneAt + lapsedLimit
	switch {
	case host.State != lb.BackendActive:
	case c.evacuated[host.Zone]:
		host.place = placeEvacuated
	case known.Gone && lapsed <= now:
	case known.Gone && cold: // no last resort: it bears few flows, if it lives
		host.until = min(known.ColdUntil, lapsed)
	case known.Gone:
		host.place, host.until = placeLapsed, lapsed
	case cold:
		host.Cold, host.place, host.until = true, placeCold, known.ColdUntil
	default:
		host.place = placeReady
		if starting {
			host.Warming, host.until = true, known.ColdUntil
		}
	}
}

// hashOf gives a run's part of its tokens. It tells the flows of a back end that has
// started again from those of its run before, where back ends say when they started.
func hashOf(name lb.BackendName, born int64) uint32 {
	hash := xxhash.Sum64String(string(name))
	if born != 0 {
		hash = rendezvous.Mix(hash ^ uint64(born))
	}
	return uint32(hash)
}
