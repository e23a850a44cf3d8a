package health

import (
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// ProbersPerZone is the number of nodes of each zone that probe a back end.
const ProbersPerZone = 2

// Assigned reports whether this node probes the back end, given the living nodes of its own zone,
// itself included. The two nodes that rank first by rendezvous hashing of the back end's name probe
// it, so the death of a node moves few probes.
func Assigned(self lb.NodeID, zoneNodes []rendezvous.Candidate, backend lb.BackendName) bool {
	key := rendezvous.NewKey("probe/" + string(backend))
	first, second := rendezvous.Chain(key, zoneNodes)
	for _, index := range [ProbersPerZone]int{first, second} {
		if index >= 0 && zoneNodes[index].ID == self {
			return true
		}
	}
	return false
}
