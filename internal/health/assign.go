package health

import (
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// ProbersPerZone is how many nodes of each zone probe a back end.
const ProbersPerZone = 2

// Assigned tells whether this node probes the back end, given the nodes of its
// own zone that are alive, itself among them. The first two nodes by
// rendezvous hash of the back end's name do; so one death moves few probes.
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
