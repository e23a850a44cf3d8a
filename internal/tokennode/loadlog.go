package tokennode

import (
	"time"

	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
)

// loadLog remembers what was last logged of what follows from the fleet's load.
type loadLog struct {
	shares   stepLog[lb.ServiceName]
	admitted stepLog[levelKey]
}

// levelKey tells the priorities of services apart.
type levelKey struct {
	service  lb.ServiceName
	priority uint16
}

func newLoadLog() loadLog {
	return loadLog{shares: newStepLog[lb.ServiceName](), admitted: newStepLog[levelKey]()}
}

// loadInputs is what a share and an admitted part follow from. Amounts are in slots, of the
// own zone and of all others.
type loadInputs struct {
	// known: something recent is known, which is age old.
	known                    bool
	age                      time.Duration
	asked, askedOthers       float64
	refused                  float64 // of all zones
	capacity, capacityOthers float64
}

// inputsOf sums up what is known of a service, and what its ready back ends do.
func inputsOf(now time.Duration, zone lb.Zone, known *fleetload.Service, capacity map[lb.Zone]float64) loadInputs {
	var inputs loadInputs
	for name, slots := range capacity {
		if name == zone {
			inputs.capacity = slots
		} else {
			inputs.capacityOthers += slots
		}
	}
	if known == nil {
		return inputs
	}
	inputs.known = true
	inputs.age = max(0, now-known.SummedAt)
	for index := range known.Zones {
		from := &known.Zones[index]
		if from.Zone == zone {
			inputs.asked = from.Demand()
		} else {
			inputs.askedOthers += from.Demand()
		}
		for _, level := range from.Levels {
			inputs.refused += level.Refused
		}
	}
	return inputs
}

// write adds the inputs to a line.
func (i *loadInputs) write(line *zerolog.Event) *zerolog.Event {
	line = line.Float64(logging.FieldCapacity, i.capacity).Float64(logging.FieldCapacityOthers, i.capacityOthers)
	if !i.known {
		return line
	}
	return line.Float64(logging.FieldAsked, i.asked).
		Float64(logging.FieldAskedOthers, i.askedOthers).
		Float64(logging.FieldAskedRefused, i.refused).
		Int64(logging.FieldLoadAge, i.age.Milliseconds())
}

// logLoad logs changes of the part of its flows that the zone keeps, and of the parts of
// openings that are let in, with what decided them.
func (engine *engine) logLoad() {
	engine.logShares()
	engine.logAdmitted()
}

func (engine *engine) logShares() {
	homes := make(map[lb.ServiceName]float64)
	for service, parts := range engine.core.ZoneWeights() {
		homes[service] = parts[engine.settings.Zone]
	}
	engine.loadLog.shares.forget(engine.table.HasService)
	for _, change := range engine.loadLog.shares.note(engine.last, homes, func(service lb.ServiceName) float64 { return homes[service] }) {
		line := engine.logger.Info().
			Str(logging.FieldEvent, string(logging.EventShareChanged)).
			Str(logging.FieldService, string(change.key)).
			Float64(logging.FieldHome, change.value).
			Float64(logging.FieldBefore, change.before)
		inputs := engine.loadInputs(change.key)
		inputs.write(line).Send()
	}
}

func (engine *engine) logAdmitted() {
	parts := make(map[levelKey]float64)
	pressures := make(map[lb.ServiceName]float64)
	for _, status := range engine.core.OverloadStatus() {
		pressures[status.Service] = status.Pressure
		for _, level := range status.Levels {
			parts[levelKey{status.Service, level.Priority}] = level.Admitted
		}
	}
	engine.loadLog.admitted.forget(func(key levelKey) bool { return engine.table.HasService(key.service) })
	for _, change := range engine.loadLog.admitted.note(engine.last, parts, func(levelKey) float64 { return 1 }) {
		line := engine.logger.Info().
			Str(logging.FieldEvent, string(logging.EventAdmittedChanged)).
			Str(logging.FieldService, string(change.key.service)).
			Uint16(logging.FieldPriority, change.key.priority).
			Float64(logging.FieldAdmitted, change.value).
			Float64(logging.FieldBefore, change.before).
			Float64(logging.FieldPressure, pressures[change.key.service])
		inputs := engine.loadInputs(change.key.service)
		inputs.write(line).Send()
	}
}

// loadInputs gives those of a service now.
func (engine *engine) loadInputs(service lb.ServiceName) loadInputs {
	var capacity map[lb.Zone]float64
	if found := engine.table.ServiceNamed(service); found != nil {
		capacity = found.Capacity()
	}
	if known, found := engine.load.Services()[service]; found {
		return inputsOf(engine.last, engine.settings.Zone, &known, capacity)
	}
	return inputsOf(engine.last, engine.settings.Zone, nil, capacity)
}
