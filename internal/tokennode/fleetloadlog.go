package tokennode

import (
	"time"

	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
)

// loadLog holds the last logged values of the zone weights and admission rates, which follow from
// the fleet's load.
type loadLog struct {
	localWeights   valueLog[lb.ServiceName]
	admissionRates valueLog[levelKey]
}

// levelKey identifies a priority level of a service.
type levelKey struct {
	service  lb.ServiceName
	priority uint16
}

func newLoadLog() loadLog {
	return loadLog{localWeights: newValueLog[lb.ServiceName](), admissionRates: newValueLog[levelKey]()}
}

// loadInputs holds the inputs from which zone weights and admission rates are computed. Amounts
// are in slots, for the local zone and for the sum of all other zones.
type loadInputs struct {
	// hasLoad reports whether recent load data on the service exists, and age is the age of the
	// data.
	hasLoad                  bool
	age                      time.Duration
	demand, demandOthers     float64
	refused                  float64 // sum over all zones
	capacity, capacityOthers float64
}

// inputsOf sums up the load data on a service, which is nil if there is none, and the capacity of
// the service's ready back ends.
func inputsOf(now time.Duration, zone lb.Zone, load *fleetload.Service, capacity map[lb.Zone]float64) loadInputs {
	var inputs loadInputs
	for name, slots := range capacity {
		if name == zone {
			inputs.capacity = slots
		} else {
			inputs.capacityOthers += slots
		}
	}
	if load == nil {
		return inputs
	}
	inputs.hasLoad = true
	inputs.age = max(0, now-load.SummedAt)
	for index := range load.Zones {
		from := &load.Zones[index]
		if from.Zone == zone {
			inputs.demand = from.Demand()
		} else {
			inputs.demandOthers += from.Demand()
		}
		for _, level := range from.Levels {
			inputs.refused += level.Refused
		}
	}
	return inputs
}

// write adds the inputs to a log line.
func (inputs *loadInputs) write(line *zerolog.Event) *zerolog.Event {
	line = line.Float64(logging.FieldCapacity, inputs.capacity).Float64(logging.FieldCapacityOthers, inputs.capacityOthers)
	if !inputs.hasLoad {
		return line
	}
	return line.Float64(logging.FieldDemand, inputs.demand).
		Float64(logging.FieldDemandOthers, inputs.demandOthers).
		Float64(logging.FieldDemandRefused, inputs.refused).
		Int64(logging.FieldLoadAge, inputs.age.Milliseconds())
}

// logLoad logs large changes of the local zone's weights and of the admission rates, with the
// inputs of each decision.
func (engine *engine) logLoad() {
	engine.logLocalWeights()
	engine.logAdmissionRates()
}

// logLocalWeights logs large changes of the weight of the local zone, for each service.
func (engine *engine) logLocalWeights() {
	localWeights := make(map[lb.ServiceName]float64)
	for service, weights := range engine.core.ZoneWeights() {
		localWeights[service] = weights[engine.settings.Zone]
	}
	engine.loadLog.localWeights.retain(engine.table.HasService)
	for _, change := range engine.loadLog.localWeights.changes(engine.lastStep, localWeights, func(service lb.ServiceName) float64 { return localWeights[service] }) {
		line := engine.logger.Info().
			Str(logging.FieldEvent, string(logging.EventZoneWeightChanged)).
			Str(logging.FieldService, string(change.key)).
			Float64(logging.FieldLocalWeight, change.value).
			Float64(logging.FieldPrevious, change.before)
		inputs := engine.loadInputs(change.key)
		inputs.write(line).Send()
	}
}

// logAdmissionRates logs large changes of the admission rate, for each service and priority.
func (engine *engine) logAdmissionRates() {
	rates := make(map[levelKey]float64)
	pressures := make(map[lb.ServiceName]float64)
	for _, status := range engine.core.OverloadStatus() {
		pressures[status.Service] = status.Pressure
		for _, level := range status.Levels {
			rates[levelKey{status.Service, level.Priority}] = level.AdmissionRate
		}
	}
	engine.loadLog.admissionRates.retain(func(key levelKey) bool { return engine.table.HasService(key.service) })
	for _, change := range engine.loadLog.admissionRates.changes(engine.lastStep, rates, func(levelKey) float64 { return 1 }) {
		line := engine.logger.Info().
			Str(logging.FieldEvent, string(logging.EventAdmissionRateChanged)).
			Str(logging.FieldService, string(change.key.service)).
			Uint16(logging.FieldPriority, change.key.priority).
			Float64(logging.FieldAdmissionRate, change.value).
			Float64(logging.FieldPrevious, change.before).
			Float64(logging.FieldPressure, pressures[change.key.service])
		inputs := engine.loadInputs(change.key.service)
		inputs.write(line).Send()
	}
}

// loadInputs returns the current load inputs of a service.
func (engine *engine) loadInputs(service lb.ServiceName) loadInputs {
	var capacity map[lb.Zone]float64
	if found := engine.table.ServiceNamed(service); found != nil {
		capacity = found.Capacity()
	}
	if load, found := engine.load.Services()[service]; found {
		return inputsOf(engine.lastStep, engine.settings.Zone, &load, capacity)
	}
	return inputsOf(engine.lastStep, engine.settings.Zone, nil, capacity)
}
