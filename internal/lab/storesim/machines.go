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
	// Gone, in a posted entry, takes the machine off the list.
	Gone bool `json:"gone,omitempty"`
}

// machineChange is one posted entry with the time of its posting.
type machineChange struct {
	at      time.Time
	machine Machine
}

// machineList serves the machines as they were some time ago.
type machineList struct {
	mutex   sync.Mutex
	changes []machineChange
}

func (list *machineList) post(machine Machine) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.changes = append(list.changes, machineChange{at: time.Now(), machine: machine})
}

// asOf gives the machines at the given time, by node.
func (list *machineList) asOf(at time.Time) []Machine {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	byNode := map[lb.NodeID]Machine{}
	for _, c := range list.changes {
		if c.at.After(at) {
			continue
		}
		if c.machine.Gone {
			delete(byNode, c.machine.Node)
			continue
		}
		byNode[c.machine.Node] = c.machine
	}
	machines := make([]Machine, 0, len(byNode))
	for _, machine := range byNode {
		machines = append(machines, machine)
	}
	slices.SortFunc(machines, func(a, b Machine) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return machines
}
