package catalog

import (
	"maps"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
)

// ZonePrefix is the prefix of the keys of evacuated zones. There is one document per evacuated
// zone.
const ZonePrefix = "/robinpulley/zones/"

// EvacuatedZone is the document by which operators evacuate a zone: as long as it exists, the back
// ends of the zone get no new flows.
type EvacuatedZone struct {
	Name    lb.Zone `json:"name"`
	WriteID string  `json:"write_id"`
}

// ZoneKey returns the store key of an evacuated zone's document.
func ZoneKey(name lb.Zone) string { return ZonePrefix + string(name) }

// DecodeZone decodes and validates the document of an evacuated zone under key.
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

// EncodeZone validates the document of an evacuated zone and returns it encoded.
func EncodeZone(zone *EvacuatedZone) ([]byte, error) {
	if err := zone.Validate(); err != nil {
		return nil, err
	}
	return encode(ZoneKey(zone.Name), zone)
}

// Validate checks the document without regard to other documents. Its error is a *ValidationError.
func (zone *EvacuatedZone) Validate() error {
	var invalid fieldErrors
	invalid.check("name", string(zone.Name), ValidateName(string(zone.Name)))
	return invalid.result(ZoneKey(zone.Name))
}

// PutZone records that a zone is evacuated and returns the services whose desired state may have
// changed, sorted.
func (index *Index) PutZone(zone EvacuatedZone) ([]lb.ServiceName, error) {
	key := ZoneKey(zone.Name)
	if err := zone.Validate(); err != nil {
		return index.reject(key, err)
	}
	delete(index.problems, key)
	index.evacuated[zone.Name] = struct{}{}
	return index.servicesIn(zone.Name), nil
}

// DeleteZone records that a zone is no longer evacuated and returns the services whose desired
// state may have changed, sorted.
func (index *Index) DeleteZone(name lb.Zone) []lb.ServiceName {
	delete(index.problems, ZoneKey(name))
	delete(index.evacuated, name)
	return index.servicesIn(name)
}

// Evacuated reports whether the zone is evacuated.
func (index *Index) Evacuated(name lb.Zone) bool {
	_, evacuated := index.evacuated[name]
	return evacuated
}

// EvacuatedZones returns the evacuated zones, sorted.
func (index *Index) EvacuatedZones() []lb.Zone {
	return append([]lb.Zone{}, slices.Sorted(maps.Keys(index.evacuated))...)
}

// servicesIn returns the services that have back ends in the zone, sorted.
func (index *Index) servicesIn(zone lb.Zone) []lb.ServiceName {
	services := make(map[lb.ServiceName]struct{})
	for _, entry := range index.backends {
		if entry.backend.Zone == zone {
			maps.Copy(services, entry.services)
		}
	}
	return sortedUnion(services, nil)
}
