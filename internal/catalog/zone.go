package catalog

import (
	"maps"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
)

// ZonePrefix holds one document for each evacuated zone.
const ZonePrefix = "/robinpulley/zones/"

// EvacuatedZone is the operators' word that the back ends of a zone take no new
// flows, as long as the document exists.
type EvacuatedZone struct {
	Name    lb.Zone `json:"name"`
	WriteID string  `json:"write_id"`
}

// ZoneKey is the store key of an evacuated zone's document.
func ZoneKey(name lb.Zone) string { return ZonePrefix + string(name) }

// DecodeZone reads and validates the document under key.
func DecodeZone(key string, value []byte) (EvacuatedZone, error) {
	var zone EvacuatedZone
	if err := decodeStrictly(key, value, &zone); err != nil {
		return EvacuatedZone{}, err
	}
	if err := checkName(key, ZonePrefix, string(zone.Name)); err != nil {
		return EvacuatedZone{}, err
	}
	return zone, zone.Validate()
}

// EncodeZone validates the zone and gives its document.
func EncodeZone(zone *EvacuatedZone) ([]byte, error) {
	if err := zone.Validate(); err != nil {
		return nil, err
	}
	return encode(ZoneKey(zone.Name), zone)
}

// Validate checks the document by itself; its error is a *ValidationError.
func (zone *EvacuatedZone) Validate() error {
	var found problems
	found.check("name", string(zone.Name), ValidateName(string(zone.Name)))
	return found.result(ZoneKey(zone.Name))
}

// PutZone takes in that a zone is evacuated and gives the services concerned, sorted.
func (index *Index) PutZone(zone EvacuatedZone) ([]lb.ServiceName, error) {
	key := ZoneKey(zone.Name)
	if err := zone.Validate(); err != nil {
		return index.reject(key, err)
	}
	delete(index.problems, key)
	index.evacuated[zone.Name] = struct{}{}
	return index.servicesIn(zone.Name), nil
}

// DeleteZone takes in that a zone is restored and gives the services concerned, sorted.
func (index *Index) DeleteZone(name lb.Zone) []lb.ServiceName {
	delete(index.problems, ZoneKey(name))
	delete(index.evacuated, name)
	return index.servicesIn(name)
}

// Evacuated tells whether back ends of the zone take no new flows.
func (index *Index) Evacuated(name lb.Zone) bool {
	_, evacuated := index.evacuated[name]
	return evacuated
}

// EvacuatedZones gives the zones whose back ends take no new flows, sorted.
func (index *Index) EvacuatedZones() []lb.Zone {
	return append([]lb.Zone{}, slices.Sorted(maps.Keys(index.evacuated))...)
}

// servicesIn gives the services with back ends in a zone, sorted.
func (index *Index) servicesIn(zone lb.Zone) []lb.ServiceName {
	services := make(map[lb.ServiceName]struct{})
	for _, entry := range index.backends {
		if entry.backend.Zone == zone {
			maps.Copy(services, entry.services)
		}
	}
	return sortedUnion(services, nil)
}
