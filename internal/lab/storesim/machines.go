package storesim

import (
	"slices"
	"strings"
	"sync"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Machine is one entry of the platform's machine list.
type Machine struct {
	Node    lb.NodeID `json:"node"`
	Zone    lb.Zone   `json:"zone"`
	Control string    `json:"control"` // control address, UDP and TCP
	Data    string    `json:"data"`    // Geneve address, UDP
	Leaving bool      `json:"leaving"`
	// Deleted is set in a posted entry to remove the machine from the list.
	Deleted bool `json:"gone,omitempty"`
}

// machineChange is one posted entry with the time at which it was posted.
type machineChange struct {
	at      time.Time
	machine Machine
}

// machineList keeps the history of the machine list, so that it can return an older state.
type machineList struct {
	mutex   sync.Mutex
	changes []machineChange
}

func (list *machineList) post(machine Machine) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.changes = append(list.changes, machineChange{at: time.Now(), machine: machine})
}

// asOf returns the machines at a time, sorted by node.
func (list *machineList) asOf(at time.Time) []Machine {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	byNode := map[lb.NodeID]Machine{}
	for _, change := range list.changes {
		if change.at.After(at) {
			continue
		}
		if change.machine.Deleted {
			delete(byNode, change.machine.Node)
			continue
		}
		byNode[change.machine.Node] = change.machine
	}
	machines := make([]Machine, 0, len(byNode))
	for _, machine := range byNode {
		machines = append(machines, machine)
	}
	slices.SortFunc(machines, func(a, b Machine) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return machines
}
