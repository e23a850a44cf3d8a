package health

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

func zoneNodes(count int) []rendezvous.Candidate {
	nodes := make([]rendezvous.Candidate, count)
	for index := range nodes {
		id := lb.NodeID(fmt.Sprintf("node-%d", index))
		nodes[index] = rendezvous.Candidate{ID: id, Zone: "a", Hash: id.Hash()}
	}
	return nodes
}

func probers(nodes []rendezvous.Candidate, backend lb.BackendName) map[lb.NodeID]bool {
	found := map[lb.NodeID]bool{}
	for _, node := range nodes {
		if Assigned(node.ID, nodes, backend) {
			found[node.ID] = true
		}
	}
	return found
}

func TestEachBackendHasItsProbers(t *testing.T) {
	is := is.New(t)
	probes := map[lb.NodeID]int{}
	for index := range 1000 {
		backend := lb.BackendName(fmt.Sprintf("host-%d", index))
		all := probers(zoneNodes(10), backend)
		is.Equal(len(all), ProbersPerZone)
		is.Equal(len(probers(zoneNodes(1), backend)), 1)
		is.Equal(len(probers(nil, backend)), 0)
		fewer := probers(zoneNodes(9), backend) // node-9 has died
		for node := range all {
			probes[node]++
			is.True(fewer[node] || node == "node-9") // the other probers stay
		}
	}
	for _, count := range probes {
		is.True(count > 150 && count < 250) // 200 each on average
	}
}
