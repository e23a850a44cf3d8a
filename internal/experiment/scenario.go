// Package experiment runs a load and its faults against balancers in virtual
// time, on the real decision core or on a baseline, and counts broken flows
// and imbalance. The same scenario and seed give the same result, byte for byte.
package experiment

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"robinpulley.example/robinpulley/internal/lb"
)

// Scenario is one experiment as written in a YAML file.
type Scenario struct {
	Name     string        `yaml:"name"`
	Seed     uint64        `yaml:"seed"`
	Runs     int           `yaml:"runs"`
	Duration time.Duration `yaml:"duration"`
	Zones    []lb.Zone     `yaml:"zones"`
	Delays   Delays        `yaml:"delays"`
	// BalancersPerZone is the number of balancers at the start.
	BalancersPerZone int       `yaml:"balancers_per_zone"`
	Timings          Timings   `yaml:"timings"`
	Services         []Service `yaml:"services"`
	Faults           []Fault   `yaml:"faults"`
	// RandomPlanned adds this many planned changes at random times, drawn from each run's seed.
	RandomPlanned int `yaml:"random_planned"`
}

// Delays are one-way delays, and what the network does to packets.
type Delays struct {
	Within      time.Duration `yaml:"within"`
	Between     time.Duration `yaml:"between"`
	Client      time.Duration `yaml:"client"`
	Jitter      time.Duration `yaml:"jitter"`
	Loss        float64       `yaml:"loss"`
	Duplication float64       `yaml:"duplication"`
}

// Timings are the settings of the core, and how unevenly views spread.
type Timings struct {
	// Spread: each node adopts a placement or a membership change at a
	// random time up to Spread after it is published.
	Spread      time.Duration `yaml:"spread"`
	OpeningHold time.Duration `yaml:"opening_hold"`
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	PinLifetime time.Duration `yaml:"pin_lifetime"`
}

// Service is one service with its hosts and its traffic.
type Service struct {
	Name        lb.ServiceName `yaml:"name"`
	Hosts       int            `yaml:"hosts"`
	Slots       int            `yaml:"slots"`
	Connections int            `yaml:"connections"`
	// OpensPerSecond is the admission limit; 0 is none.
	OpensPerSecond uint32    `yaml:"opens_per_second"`
	Traffic        []Traffic `yaml:"traffic"`
}

// FlowKind names a kind of traffic.
type FlowKind string

// The kinds of traffic.
const (
	// Feed is a long flow with a packet now and then.
	Feed FlowKind = "feed"
	// Tap is one short request and its answer.
	Tap FlowKind = "tap"
	// Upload is many segments, each sent when the one before is acknowledged.
	Upload FlowKind = "upload"
)

// Traffic is one open-loop stream of new flows.
type Traffic struct {
	Kind           FlowKind      `yaml:"kind"`
	OpensPerSecond float64       `yaml:"opens_per_second"`
	MeanDuration   time.Duration `yaml:"mean_duration"` // feeds: exponential
	PacketEvery    time.Duration `yaml:"packet_every"`  // feeds
	ServiceTime    time.Duration `yaml:"service_time"`  // taps: exponential, in a slot
	Segments       int           `yaml:"segments"`      // uploads
}

// FaultKind names what happens at a time.
type FaultKind string

// Planned changes, then unplanned failures.
const (
	Drain   FaultKind = "drain"   // a back end takes no new flows
	Undrain FaultKind = "undrain" // and takes them again
	Add     FaultKind = "add"     // a new back end
	Relabel FaultKind = "relabel" // a back end leaves its service's selector, another comes back
	Stop    FaultKind = "stop"    // planned stop of a balancer
	Join    FaultKind = "join"    // a new balancer
	Kill    FaultKind = "kill"    // a balancer dies
	Freeze  FaultKind = "freeze"  // a balancer is paused for a while, then goes on with its old view
	CutZone FaultKind = "cut"     // a zone is cut from the others for a while
)

// Fault is one event of a scenario.
type Fault struct {
	At      time.Duration  `yaml:"at"`
	Do      FaultKind      `yaml:"do"`
	Service lb.ServiceName `yaml:"service,omitempty"`
	// Target is the index of the back end in its service or of the balancer.
	Target int           `yaml:"target"`
	Zone   lb.Zone       `yaml:"zone,omitempty"`
	For    time.Duration `yaml:"for,omitempty"`
}

// Load reads and checks a scenario file.
func Load(path string) (*Scenario, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "scenario")
	}
	scenario, err := Parse(content)
	return scenario, errors.Wrapf(err, "scenario %s", path)
}

// Parse reads and checks a scenario. Unknown fields are errors.
func Parse(content []byte) (*Scenario, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	var scenario Scenario
	if err := decoder.Decode(&scenario); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return &scenario, scenario.check()
}

// checker gathers every fault of a scenario.
type checker struct{ problems []error }

func (checker *checker) require(ok bool, format string, arguments ...any) {
	if !ok {
		checker.problems = append(checker.problems, fmt.Errorf(format, arguments...))
	}
}

func (scenario *Scenario) check() error {
	var checker checker
	checker.require(scenario.Name != "", "name %q is empty", scenario.Name)
	checker.require(scenario.Runs >= 1, "runs %d is below 1", scenario.Runs)
	checker.require(scenario.Duration > 0, "duration %s is not positive", scenario.Duration)
	checker.require(len(scenario.Zones) >= 1, "zones is empty")
	checker.require(scenario.BalancersPerZone >= 1, "balancers_per_zone %d is below 1", scenario.BalancersPerZone)
	checker.require(probability(scenario.Delays.Loss), "delays.loss %v is not in [0, 1)", scenario.Delays.Loss)
	checker.require(probability(scenario.Delays.Duplication), "delays.duplication %v is not in [0, 1)", scenario.Delays.Duplication)
	timings := scenario.Timings
	checker.require(timings.OpeningHold > 0, "timings.opening_hold %s is not positive", timings.OpeningHold)
	checker.require(timings.PinLifetime > 0, "timings.pin_lifetime %s is not positive", timings.PinLifetime)
	checker.require(timings.IdleTimeout > timings.PinLifetime,
		"timings.idle_timeout %s is not above pin_lifetime %s", timings.IdleTimeout, timings.PinLifetime)
	checker.require(len(scenario.Services) >= 1, "services is empty")
	names := make(map[lb.ServiceName]int)
	for i := range scenario.Services {
		service := &scenario.Services[i]
		names[service.Name]++
		checker.require(names[service.Name] == 1, "services[%d].name %q is a duplicate", i, service.Name)
		checker.service(fmt.Sprintf("services[%d]", i), service)
	}
	for i, fault := range scenario.Faults {
		checker.fault(fmt.Sprintf("faults[%d]", i), fault, names, scenario.Zones)
	}
	return errors.Join(checker.problems...)
}

func probability(value float64) bool { return value >= 0 && value < 1 }

func (checker *checker) service(path string, service *Service) {
	checker.require(service.Name != "", "%s.name %q is empty", path, service.Name)
	checker.require(service.Hosts >= 1, "%s.hosts %d is below 1", path, service.Hosts)
	checker.require(service.Slots >= 1, "%s.slots %d is below 1", path, service.Slots)
	checker.require(service.Connections >= 1, "%s.connections %d is below 1", path, service.Connections)
	for i, traffic := range service.Traffic {
		checker.traffic(fmt.Sprintf("%s.traffic[%d]", path, i), traffic)
	}
}

func (checker *checker) traffic(path string, traffic Traffic) {
	checker.require(traffic.OpensPerSecond > 0, "%s.opens_per_second %v is not positive", path, traffic.OpensPerSecond)
	switch traffic.Kind {
	case Feed:
		checker.require(traffic.MeanDuration > 0, "%s.mean_duration %s is not positive", path, traffic.MeanDuration)
		checker.require(traffic.PacketEvery > 0, "%s.packet_every %s is not positive", path, traffic.PacketEvery)
	case Tap:
		checker.require(traffic.ServiceTime > 0, "%s.service_time %s is not positive", path, traffic.ServiceTime)
	case Upload:
		checker.require(traffic.Segments > 0, "%s.segments %d is not positive", path, traffic.Segments)
	default:
		checker.require(false, "%s.kind %q is not feed, tap or upload", path, traffic.Kind)
	}
}

func (checker *checker) fault(path string, fault Fault, services map[lb.ServiceName]int, zones []lb.Zone) {
	checker.require(fault.At >= 0, "%s.at %s is negative", path, fault.At)
	checker.require(fault.Target >= 0, "%s.target %d is negative", path, fault.Target)
	switch fault.Do {
	case Drain, Undrain, Add, Relabel:
		checker.require(services[fault.Service] > 0, "%s.service %q is not a service of the scenario", path, fault.Service)
	case Stop, Join, Kill:
	case Freeze:
		checker.require(fault.For > 0, "%s.for %s is not positive", path, fault.For)
	case CutZone:
		checker.require(fault.For > 0, "%s.for %s is not positive", path, fault.For)
		known := false
		for _, zone := range zones {
			known = known || zone == fault.Zone
		}
		checker.require(known, "%s.zone %q is not a zone of the scenario", path, fault.Zone)
	default:
		checker.require(false, "%s.do %q is not a known fault", path, fault.Do)
	}
}
