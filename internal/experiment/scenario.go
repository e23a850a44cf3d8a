// Package experiment simulates balancers, hosts and clients in virtual time. It runs a scenario of
// load and faults on the production decision core or on a baseline balancer, and measures broken
// flows and imbalance. The same scenario and seed produce the same result, byte for byte.
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

// Scenario describes an experiment, as read from a YAML file.
type Scenario struct {
	Name     string        `yaml:"name"`
	Seed     uint64        `yaml:"seed"` // seed of the first run
	Runs     int           `yaml:"runs"` // number of runs per kind of balancer, each with its own seed
	Duration time.Duration `yaml:"duration"`
	Zones    []lb.Zone     `yaml:"zones"`
	Delays   Delays        `yaml:"delays"`
	// BalancersPerZone is the number of balancers at the start.
	BalancersPerZone int       `yaml:"balancers_per_zone"`
	Timings          Timings   `yaml:"timings"`
	Services         []Service `yaml:"services"`
	Faults           []Fault   `yaml:"faults"`
	// RandomPlannedChanges is the number of additional planned changes. Their kinds and times are
	// random, from the seed of each run.
	RandomPlannedChanges int `yaml:"random_planned"`
}

// Delays holds the one-way delays of the network (Client is between a client and a balancer or
// host), and the probabilities of loss and duplication of a packet.
type Delays struct {
	Within      time.Duration `yaml:"within"`
	Between     time.Duration `yaml:"between"`
	Client      time.Duration `yaml:"client"`
	Jitter      time.Duration `yaml:"jitter"`
	Loss        float64       `yaml:"loss"`
	Duplication float64       `yaml:"duplication"`
}

// Timings holds settings of the decision core, and the lag with which nodes adopt views.
type Timings struct {
	// Spread is the maximum lag: each node adopts a placement or a membership change at a random
	// time up to Spread after its publication.
	Spread      time.Duration `yaml:"spread"`
	OpeningHold time.Duration `yaml:"opening_hold"`
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	PinLifetime time.Duration `yaml:"pin_lifetime"`
}

// Service describes a service, its hosts and its traffic. Slots is the number of requests that a
// host executes concurrently, Connections the maximum number of open flows of a host.
type Service struct {
	Name        lb.ServiceName `yaml:"name"`
	Hosts       int            `yaml:"hosts"`
	Slots       int            `yaml:"slots"`
	Connections int            `yaml:"connections"`
	// OpensPerSecond is the admission limit for new flows; 0 means no limit.
	OpensPerSecond uint32    `yaml:"opens_per_second"`
	Traffic        []Traffic `yaml:"traffic"`
}

// FlowKind is a kind of traffic.
type FlowKind string

// The kinds of traffic.
const (
	// Feed is a long-lived flow with occasional packets.
	Feed FlowKind = "feed"
	// Tap is a short flow with one request and its response.
	Tap FlowKind = "tap"
	// Upload is a flow of many segments; each is sent when the previous one is acknowledged.
	Upload FlowKind = "upload"
)

// Traffic describes a stream of new flows of one kind. Arrivals are open-loop, with exponential
// gaps.
type Traffic struct {
	Kind           FlowKind      `yaml:"kind"`
	OpensPerSecond float64       `yaml:"opens_per_second"`
	MeanDuration   time.Duration `yaml:"mean_duration"` // of feeds; the distribution is exponential
	PacketEvery    time.Duration `yaml:"packet_every"`  // mean interval of a feed's packets
	ServiceTime    time.Duration `yaml:"service_time"`  // mean execution time of a tap's request in a slot; exponential
	Segments       int           `yaml:"segments"`      // number of segments of an upload
}

// FaultKind is a kind of planned change or failure.
type FaultKind string

// The kinds of faults: first the planned changes, then the failures (Kill, Freeze, CutZone).
const (
	Drain   FaultKind = "drain"   // a back end stops receiving new flows
	Undrain FaultKind = "undrain" // a drained back end receives new flows again
	Add     FaultKind = "add"     // a new back end joins a service
	Relabel FaultKind = "relabel" // a back end no longer matches its service's selector, and a new one does
	Stop    FaultKind = "stop"    // a balancer stops as planned, after the handover of its records
	Join    FaultKind = "join"    // a new balancer starts
	Kill    FaultKind = "kill"    // a balancer ends without notice
	Freeze  FaultKind = "freeze"  // a balancer is paused for a time, then resumes with its old view
	CutZone FaultKind = "cut"     // a network partition separates a zone from all others for a time
)

// Fault is one planned change or failure of a scenario.
type Fault struct {
	At      time.Duration  `yaml:"at"`
	Do      FaultKind      `yaml:"do"`
	Service lb.ServiceName `yaml:"service,omitempty"`
	// Target selects the back end among the members of its service, or the balancer among those
	// that can be stopped. Indexes beyond the last wrap around.
	Target int           `yaml:"target"`
	Zone   lb.Zone       `yaml:"zone,omitempty"` // of Join and CutZone
	For    time.Duration `yaml:"for,omitempty"`  // duration of Freeze and CutZone
}

// Load reads a scenario file and validates it.
func Load(path string) (*Scenario, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read scenario")
	}
	scenario, err := Parse(content)
	return scenario, errors.Wrapf(err, "scenario %s", path)
}

// Parse decodes a scenario from YAML and validates it. Unknown fields are errors.
func Parse(content []byte) (*Scenario, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	var scenario Scenario
	if err := decoder.Decode(&scenario); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return &scenario, scenario.validate()
}

// validator collects all problems of a scenario, so that one error reports all of them.
type validator struct{ problems []error }

// require records a problem unless ok is true.
func (validator *validator) require(ok bool, format string, arguments ...any) {
	if !ok {
		validator.problems = append(validator.problems, fmt.Errorf(format, arguments...))
	}
}

// validate returns an error that contains all problems of the scenario, or nil.
func (scenario *Scenario) validate() error {
	var validator validator
	validator.require(scenario.Name != "", "name %q is empty", scenario.Name)
	validator.require(scenario.Runs >= 1, "runs %d is below 1", scenario.Runs)
	validator.require(scenario.Duration > 0, "duration %s is not positive", scenario.Duration)
	validator.require(len(scenario.Zones) >= 1, "zones is empty")
	validator.require(scenario.BalancersPerZone >= 1, "balancers_per_zone %d is below 1", scenario.BalancersPerZone)
	validator.require(probability(scenario.Delays.Loss), "delays.loss %v is not in [0, 1)", scenario.Delays.Loss)
	validator.require(probability(scenario.Delays.Duplication), "delays.duplication %v is not in [0, 1)", scenario.Delays.Duplication)
	timings := scenario.Timings
	validator.require(timings.OpeningHold > 0, "timings.opening_hold %s is not positive", timings.OpeningHold)
	validator.require(timings.PinLifetime > 0, "timings.pin_lifetime %s is not positive", timings.PinLifetime)
	validator.require(timings.IdleTimeout > timings.PinLifetime,
		"timings.idle_timeout %s is not above pin_lifetime %s", timings.IdleTimeout, timings.PinLifetime)
	validator.require(len(scenario.Services) >= 1, "services is empty")
	names := make(map[lb.ServiceName]int)
	for i := range scenario.Services {
		service := &scenario.Services[i]
		names[service.Name]++
		validator.require(names[service.Name] == 1, "services[%d].name %q is a duplicate", i, service.Name)
		validator.service(fmt.Sprintf("services[%d]", i), service)
	}
	for i, fault := range scenario.Faults {
		validator.fault(fmt.Sprintf("faults[%d]", i), fault, names, scenario.Zones)
	}
	return errors.Join(validator.problems...)
}

// probability reports whether the value is a probability below 1.
func probability(value float64) bool { return value >= 0 && value < 1 }

func (validator *validator) service(path string, service *Service) {
	validator.require(service.Name != "", "%s.name %q is empty", path, service.Name)
	validator.require(service.Hosts >= 1, "%s.hosts %d is below 1", path, service.Hosts)
	validator.require(service.Slots >= 1, "%s.slots %d is below 1", path, service.Slots)
	validator.require(service.Connections >= 1, "%s.connections %d is below 1", path, service.Connections)
	for i, traffic := range service.Traffic {
		validator.traffic(fmt.Sprintf("%s.traffic[%d]", path, i), traffic)
	}
}

func (validator *validator) traffic(path string, traffic Traffic) {
	validator.require(traffic.OpensPerSecond > 0, "%s.opens_per_second %v is not positive", path, traffic.OpensPerSecond)
	switch traffic.Kind {
	case Feed:
		validator.require(traffic.MeanDuration > 0, "%s.mean_duration %s is not positive", path, traffic.MeanDuration)
		validator.require(traffic.PacketEvery > 0, "%s.packet_every %s is not positive", path, traffic.PacketEvery)
	case Tap:
		validator.require(traffic.ServiceTime > 0, "%s.service_time %s is not positive", path, traffic.ServiceTime)
	case Upload:
		validator.require(traffic.Segments > 0, "%s.segments %d is not positive", path, traffic.Segments)
	default:
		validator.require(false, "%s.kind %q is not feed, tap or upload", path, traffic.Kind)
	}
}

func (validator *validator) fault(path string, fault Fault, services map[lb.ServiceName]int, zones []lb.Zone) {
	validator.require(fault.At >= 0, "%s.at %s is negative", path, fault.At)
	validator.require(fault.Target >= 0, "%s.target %d is negative", path, fault.Target)
	switch fault.Do {
	case Drain, Undrain, Add, Relabel:
		validator.require(services[fault.Service] > 0, "%s.service %q is not a service of the scenario", path, fault.Service)
	case Stop, Join, Kill:
	case Freeze:
		validator.require(fault.For > 0, "%s.for %s is not positive", path, fault.For)
	case CutZone:
		validator.require(fault.For > 0, "%s.for %s is not positive", path, fault.For)
		known := false
		for _, zone := range zones {
			known = known || zone == fault.Zone
		}
		validator.require(known, "%s.zone %q is not a zone of the scenario", path, fault.Zone)
	default:
		validator.require(false, "%s.do %q is not a known fault", path, fault.Do)
	}
}
