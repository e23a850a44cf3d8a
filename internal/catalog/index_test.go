package catalog

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

func testService(number int, selector string) Service {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 443)
	return Service{
		Name:      lb.ServiceName(fmt.Sprintf("s%d", number)),
		Frontends: []lb.Frontend{{Address: address, Protocol: lb.TCP}},
		Selector:  selector,
	}
}

func testBackend(number int, labels map[string]string) Backend {
	host := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(number >> 8), byte(number)}), 6081)
	return Backend{Name: lb.BackendName(fmt.Sprintf("b%d", number)), Host: host, Zone: "a", Labels: labels}
}

// TestIndexMatchesDirectEvaluation makes random changes of documents. After each change it compares
// the desired state of every service with a direct evaluation of its selector, and checks that
// every service whose desired state has changed was returned as affected.
func TestIndexMatchesDirectEvaluation(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	selectors := []string{"app=a", "app=b,tier!=x", "app in (a,b)", "!app", "tier", "tier notin (x)", "app=c", "app=a,app in (a,b,c)"}
	values := []string{"a", "b", "c", "x"}
	zones := []lb.Zone{"a", "b"}
	index := NewIndex()
	services, backends := map[int]Service{}, map[int]Backend{}
	evacuated := map[lb.Zone]bool{}
	previous := map[lb.ServiceName]Desired{}
	for range 3000 {
		number := random.IntN(12)
		var affected []lb.ServiceName
		var err error
		switch random.IntN(7) {
		case 6:
			zone := zones[random.IntN(len(zones))]
			if evacuated[zone] = !evacuated[zone]; evacuated[zone] {
				affected, err = index.PutZone(EvacuatedZone{Name: zone})
			} else {
				affected = index.DeleteZone(zone)
			}
		case 0:
			delete(services, number)
			affected = index.DeleteService(testService(number, "").Name)
		case 1:
			delete(backends, number)
			affected = index.DeleteBackend(testBackend(number, nil).Name)
		case 2, 3:
			services[number] = testService(number, selectors[random.IntN(len(selectors))])
			affected, err = index.PutService(services[number])
		default:
			labels := map[string]string{}
			for _, key := range []string{"app", "tier"} {
				if random.IntN(3) > 0 {
					labels[key] = values[random.IntN(len(values))]
				}
			}
			backend := testBackend(number, labels)
			backend.Drain = random.IntN(4) == 0
			backend.Zone = zones[random.IntN(len(zones))]
			backends[number] = backend
			affected, err = index.PutBackend(backend)
		}
		is.NoErr(err)
		for number := range 12 {
			name := testService(number, "").Name
			desired := index.Desired(name)
			is.Equal(desired, evaluateDirectly(name, services, backends, evacuated))
			if !slices.Contains(affected, name) {
				// A changed service must be among the affected ones.
				is.Equal(desired, desiredOrAbsent(previous, name))
			}
			previous[name] = desired
		}
	}
}

// desiredOrAbsent returns the previous desired state of the service, or Absent if there is none.
func desiredOrAbsent(previous map[lb.ServiceName]Desired, name lb.ServiceName) Desired {
	if desired, found := previous[name]; found {
		return desired
	}
	return Desired{Name: name}
}

// evaluateDirectly computes the desired state of a service by matching its selector against every
// back end.
func evaluateDirectly(name lb.ServiceName, services map[int]Service, backends map[int]Backend, evacuated map[lb.Zone]bool) Desired {
	for _, service := range services {
		if service.Name != name {
			continue
		}
		desired := Desired{Name: name, Presence: Present, Service: service, Backends: []DesiredBackend{}}
		selector, _ := ParseSelector(service.Selector)
		for backend := range maps.Values(backends) {
			if selector.Matches(backend.Labels) {
				state := lb.BackendActive
				if backend.Drain || evacuated[backend.Zone] {
					state = lb.BackendDraining
				}
				desired.Backends = append(desired.Backends, DesiredBackend{Backend: backend, State: state})
			}
		}
		slices.SortFunc(desired.Backends, func(a, b DesiredBackend) int {
			return slices.Compare([]lb.BackendName{a.Backend.Name}, []lb.BackendName{b.Backend.Name})
		})
		return desired
	}
	return Desired{Name: name}
}

func TestInvalidDocumentKeepsLastValidVersion(t *testing.T) {
	is := is.New(t)
	index := NewIndex()
	_, err := index.PutService(testService(1, "app=a"))
	is.NoErr(err)
	_, err = index.PutBackend(testBackend(1, map[string]string{"app": "a"}))
	is.NoErr(err)
	before := index.Desired("s1")
	is.Equal(len(before.Backends), 1)

	_, err = index.PutDocument(ServiceKey("s1"), []byte(`{"name":"s1","selector":"app=b"}`))
	is.True(err != nil)
	_, err = index.PutDocument(BackendKey("b1"), []byte(`no JSON`))
	is.True(err != nil)
	is.Equal(index.Desired("s1"), before)
	problems := index.Problems()
	is.Equal(len(problems), 2)
	is.True(problems[0].PreviousInUse && problems[1].PreviousInUse)

	affected, err := index.PutDocument(BackendKey("b2"), []byte(`{}`))
	is.True(err != nil)
	is.Equal(affected, []lb.ServiceName{"s1"})
	// No version of b2 was ever valid, so its placement must not change.
	is.Equal(index.Desired("s1").UnknownBackends, []lb.BackendName{"b2"})
	_, err = index.PutDocument(ServiceKey("s2"), []byte(`{}`))
	is.True(err != nil)
	// The result must not be Absent, because the service must not be deleted.
	is.Equal(index.Desired("s2").Presence, Unknown)

	affected, err = index.PutBackend(testBackend(2, nil))
	is.NoErr(err)
	is.Equal(affected, []lb.ServiceName{"s1"})
	is.Equal(index.DeleteDocument(ServiceKey("s2")), []lb.ServiceName{"s2"})
	is.Equal(index.Desired("s2").Presence, Absent)
	is.Equal(len(index.Problems()), 2) // the documents of s1 and b1 in the store are still invalid
}

// TestInvalidZoneDocument checks that an invalid document neither evacuates a zone nor ends an
// evacuation.
func TestInvalidZoneDocument(t *testing.T) {
	is := is.New(t)
	index := NewIndex()
	_, err := index.PutDocument(ZoneKey("a"), []byte(`{"name":"b"}`))
	is.True(err != nil)
	is.Equal(len(index.EvacuatedZones()), 0)
	_, err = index.PutDocument(ZoneKey("a"), []byte(`{"name":"a","write_id":"ana/1"}`))
	is.NoErr(err)
	_, err = index.PutDocument(ZoneKey("a"), []byte(`no JSON`))
	is.True(err != nil)
	is.Equal(index.EvacuatedZones(), []lb.Zone{"a"})
	is.True(index.Problems()[0].PreviousInUse)
	index.DeleteDocument(ZoneKey("a"))
	is.Equal(len(index.EvacuatedZones()), 0)
	is.Equal(len(index.Problems()), 0)
}

func TestFrontendConflictIsReportedAndResolved(t *testing.T) {
	is := is.New(t)
	index := NewIndex()
	first, second := testService(1, "app=a"), testService(2, "app=a")
	second.Frontends = first.Frontends
	_, err := index.PutService(first)
	is.NoErr(err)
	_, err = index.PutService(second)
	is.True(err != nil)
	is.Equal(index.Desired("s2").Presence, Unknown)
	is.Equal(index.DeleteService("s1"), []lb.ServiceName{"s1", "s2"})
	is.Equal(index.Desired("s2").Presence, Present)
	is.Equal(len(index.Problems()), 0)
}

// Sizes of the catalog in benchmarks, which equal the largest installation that the load balancer
// is designed for.
const (
	benchmarkServices = 3300
	benchmarkBackends = 4800
)

func benchmarkCatalog() ([]Service, []Backend) {
	var services []Service
	for number := range benchmarkServices {
		services = append(services, testService(number, fmt.Sprintf("app=app%d, !canary", number)))
	}
	var backends []Backend
	for number := range benchmarkBackends {
		labels := map[string]string{"app": fmt.Sprintf("app%d", number%benchmarkServices), "tier": "a"}
		backends = append(backends, testBackend(number, labels))
	}
	return services, backends
}

func BenchmarkDerive(b *testing.B) {
	services, backends := benchmarkCatalog()
	for b.Loop() {
		if desired, problems := DeriveAll(services, backends); len(desired) != benchmarkServices || len(problems) != 0 {
			b.Fatal(len(desired), problems)
		}
	}
}

func BenchmarkPutBackend(b *testing.B) {
	services, backends := benchmarkCatalog()
	index := NewIndex()
	for _, backend := range backends {
		_, _ = index.PutBackend(backend)
	}
	for _, service := range services {
		_, _ = index.PutService(service)
	}
	number := 0
	for b.Loop() {
		backend := backends[number%benchmarkBackends]
		backend.Labels = map[string]string{"app": fmt.Sprintf("app%d", number%benchmarkServices)}
		affected, err := index.PutBackend(backend)
		if err != nil {
			b.Fatal(err)
		}
		for _, name := range affected {
			index.Desired(name)
		}
		number++
	}
}
