package steering

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
)

// describeTable formats everything that affects the decisions of a table.
func describeTable(table *Table, replica *view.Replica) string {
	text := fmt.Sprintf("version %d, revision %d, expires %s", table.Version(), table.Revision(), table.Expires())
	var services []string
	for name, service := range table.Services() {
		services = append(services, fmt.Sprintf("\n%s: ready %s, ring %s, lapsed %s, cold %s at %g, needed %t, evacuated %d, deleted in outage %d, zones %v, even %v, sums %v %v",
			name, describeHosts(service.Ready), describeHosts(service.Ring()), describeHosts(service.Lapsed), describeHosts(service.Cold), service.ColdRate,
			service.ColdNeeded, service.evacuated, service.deletedInOutage, service.zoneCapacity, service.even, service.evenWeights(), service.runningCapacities()))
	}
	for key, built := range table.frontends {
		services = append(services, fmt.Sprintf("\nfront end %v: %v %v", key, built.services, built.sums))
	}
	slices.Sort(services)
	text += fmt.Sprint(services)
	for _, known := range replica.Backends() {
		host := table.HostOfInstance(known.Backend.InstanceID())
		text += fmt.Sprintf("\n%s: %t, zone %t", known.Backend.Name, host != nil, table.HasZone(known.Backend.Zone))
		for _, hash := range []uint32{tokenHash(known.Backend.Name, known.Backend.StartUnixMillis), tokenHash(known.Backend.Name, 1)} {
			if host := table.byHash.get(hash); host != nil {
				text += fmt.Sprintf(" %s in %s", host.Name, host.State)
			}
		}
	}
	return text
}

func describeHosts(hosts []*Host) string {
	text := ""
	for _, host := range hosts {
		text += fmt.Sprintf("%s(%t,%t) ", host.Name, host.Cold, host.Warming)
	}
	return text
}

// drawBackend draws a back end with one of eight names. Occasionally it has the identity of another
// back end.
func drawBackend(t *rapid.T, revision int64) view.Backend {
	number := rapid.IntRange(1, 8).Draw(t, "number")
	identity := uint64(number)
	if rapid.IntRange(0, 15).Draw(t, "duplicate") == 0 {
		identity = 1
	}
	return view.Backend{
		Name: lb.BackendName(fmt.Sprintf("i-%d", number)), Identity: identity,
		Service:         rapid.SampledFrom([]lb.ServiceName{"web", "docs", "none"}).Draw(t, "service"),
		Zone:            rapid.SampledFrom([]lb.Zone{zoneA, zoneB, "zone-c"}).Draw(t, "zone"),
		State:           rapid.SampledFrom([]lb.BackendState{lb.BackendActive, lb.BackendActive, lb.BackendDraining}).Draw(t, "state"),
		Address:         netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+number)),
		Created:         rapid.Int64Range(1, revision).Draw(t, "created"),
		Slots:           rapid.IntRange(0, 4).Draw(t, "slots"),
		ColdMillis:      rapid.SampledFrom([]int64{0, 0, 500, 2000}).Draw(t, "cold"),
		StartUnixMillis: rapid.Int64Range(0, 2).Draw(t, "start"),
	}
}

func drawConfiguration(t *rapid.T, version uint64) *view.Configuration {
	configuration := &view.Configuration{Version: version}
	for port := range rapid.Uint16Range(1, 3).Draw(t, "routes") {
		target := view.Target{Service: rapid.SampledFrom([]lb.ServiceName{"web", "docs", "empty"}).Draw(t, "target"), Weight: 1}
		frontend := lb.Frontend{Address: netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), 443+port), Protocol: lb.TCP}
		configuration.Routes = append(configuration.Routes, view.Route{Frontend: frontend, Targets: []view.Target{target}})
	}
	if rapid.Bool().Draw(t, "cold rates") {
		configuration.ColdRates = []view.ColdRate{{Service: "web", PerSecond: 5}}
	}
	return configuration
}

func drawChange(t *rapid.T, revision int64) view.Change {
	change := view.Change{Revision: revision}
	name := lb.BackendName(fmt.Sprintf("i-%d", rapid.IntRange(1, 8).Draw(t, "name")))
	switch rapid.IntRange(0, 9).Draw(t, "change") {
	case 0:
		change.Configuration = drawConfiguration(t, uint64(revision))
	case 1:
		change.Unreadable = name
	case 2:
		change.Evacuated = zoneB
	case 3:
		change.Restored = zoneB
	case 4, 5:
		change.Deleted = name
	default:
		backend := drawBackend(t, revision)
		change.Backend = &backend
	}
	return change
}

// TestIncrementalCompileEqualsFullCompile checks that after any sequence of changes the
// incrementally compiled table makes the same decisions as one built from scratch, and that tables
// returned earlier do not change.
func TestIncrementalCompileEqualsFullCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replica, compiler := view.NewReplica(), NewCompiler(DefaultSettings(zoneA))
		now, revision := time.Duration(0), int64(1)
		var before *Table
		var beforeText string
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1200).Draw(t, "ms")) * time.Millisecond
			age := time.Duration(rapid.IntRange(0, 5).Draw(t, "age")) * time.Second
			replica.SetContact(view.Contact{CurrentAt: now - age, Outage: rapid.Bool().Draw(t, "outage")})
			changes := &view.Changes{}
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				revision++
				changes.Changes = append(changes.Changes, drawChange(t, revision))
			}
			changes.Revision = revision
			replica.ApplyChanges(now, changes)
			if rapid.IntRange(0, 9).Draw(t, "late") == 0 {
				now += view.TombstoneRetention
				replica.Prune(now)
			}
			table := compiler.Compile(replica, now)
			if got, want := describeTable(table, replica), describeTable(Compile(replica, zoneA, now), replica); got != want {
				t.Fatalf("at %s:\n%s\nfull compile:\n%s", now, got, want)
			}
			if before != nil && describeWithoutReplica(before) != beforeText {
				t.Fatalf("a table changed after Compile returned it:\n%s\nbefore:\n%s", describeWithoutReplica(before), beforeText)
			}
			before, beforeText = table, describeWithoutReplica(table)
		}
	})
}

// describeWithoutReplica formats the state of a table without a replica, so that it can be compared
// later.
func describeWithoutReplica(table *Table) string {
	text := describeTable(table, view.NewReplica())
	for number := range 8 {
		for startUnixMillis := range int64(3) {
			if host := table.byHash.get(tokenHash(lb.BackendName(fmt.Sprintf("i-%d", number+1)), startUnixMillis)); host != nil {
				text += fmt.Sprintf(" %d/%d=%s", number, startUnixMillis, host.Name)
			}
		}
	}
	return text
}

// namesWithSameHash returns two names that have the same hash.
func namesWithSameHash(t *testing.T) (first, second lb.BackendName) {
	t.Helper()
	seen := map[uint32]lb.BackendName{}
	for number := range 1 << 20 {
		name := lb.BackendName(fmt.Sprintf("i-%08x", number))
		hash := uint32(xxhash.Sum64String(string(name)))
		if other, found := seen[hash]; found {
			return other, name
		}
		seen[hash] = name
	}
	t.Fatal("no two names have the same hash")
	return "", ""
}

// TestHashPassesToRemainingHost checks that when the back end that owns a hash is deleted, the
// other back end with the same hash gets flows.
func TestHashPassesToRemainingHost(t *testing.T) {
	is := is.New(t)
	first, second := namesWithSameHash(t)
	builder := newViewBuilder()
	builder.addHost("i-1", "web", zoneA, lb.BackendActive)
	builder.addHost(first, "web", zoneA, lb.BackendActive)
	builder.addRoute(443, view.Target{Service: "web", Weight: 1})
	replica, compiler := builder.replica(), NewCompiler(DefaultSettings(zoneA))
	is.Equal(describeHosts(compiler.Compile(replica, 0).services["web"].Ready), describeHosts(Compile(replica, zoneA, 0).services["web"].Ready))
	other := view.Backend{
		Name: second, Identity: 99, Service: "web", Zone: zoneA, State: lb.BackendActive, Created: 20,
		Address: netip.MustParseAddrPort("10.0.0.9:80"),
	}
	replica.ApplyChanges(0, &view.Changes{Revision: 20, Changes: []view.Change{{Revision: 20, Backend: &other}}})
	is.Equal(len(compiler.Compile(replica, 0).services["web"].Ready), 2)
	replica.ApplyChanges(0, &view.Changes{Revision: 21, Changes: []view.Change{{Revision: 21, Deleted: first}}})
	later := view.TombstoneRetention + time.Second
	replica.Prune(later)
	ready := compiler.Compile(replica, later).services["web"].Ready
	is.Equal(len(ready), 2)
	is.Equal(ready[1].Name, second)
}

// sizedReplica returns a view of two services in which four fifths of the back ends belong to one
// service, as in a fleet that serves mainly one purpose.
func sizedReplica(hosts int) *view.Replica {
	builder := newViewBuilder()
	for index := range hosts {
		service := lb.ServiceName("web")
		if index%5 == 0 {
			service = "docs"
		}
		builder.addHost(lb.BackendName(fmt.Sprintf("i-%08x", uint32(index)*2654435761)), service, lb.Zone(fmt.Sprintf("zone-%d", index%5)), lb.BackendActive)
	}
	for index := range 250 {
		builder.addRoute(uint16(1000+index), view.Target{Service: "web", Weight: 1})
	}
	return builder.replica()
}

// BenchmarkChangeOfOneHost measures the compilation of a table after a change of one back end.
func BenchmarkChangeOfOneHost(b *testing.B) {
	for _, hosts := range []int{600, 3000, 10000, 20000} {
		replica := sizedReplica(hosts)
		known, _ := replica.Backend("i-00000000")
		backend := known.Backend
		backend.Service = "web"
		revision := replica.Revision()
		change := func() {
			revision++
			backend.Slots = 1 + int(revision%2)
			replica.ApplyChanges(0, &view.Changes{Revision: revision, Changes: []view.Change{{Revision: revision, Backend: &backend}}})
		}
		b.Run(fmt.Sprintf("shared/%d", hosts), func(b *testing.B) {
			compiler := NewCompiler(DefaultSettings("zone-1"))
			compiler.Compile(replica, 0)
			b.ReportAllocs()
			for b.Loop() {
				change()
				compiler.Compile(replica, 0)
			}
		})
		b.Run(fmt.Sprintf("full/%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				change()
				Compile(replica, "zone-1", 0)
			}
		})
	}
}
