// Package fabricsim is a simulator of the platform's fabric. It forwards each packet of a client to
// a random balancer of the machine list, with loss, duplication, reordering and delay, and forwards
// the balancers' refusals to the clients.
package fabricsim

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"robinpulley.example/robinpulley/internal/lab/storesim"
	"robinpulley.example/robinpulley/internal/lab/wire"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/packet"
)

// Faults configures how the fabric fails. With the zero value it forwards every packet immediately.
type Faults struct {
	Loss      int `json:"loss"`      // thousandths
	Duplicate int `json:"duplicate"` // thousandths
	Reorder   int `json:"reorder"`   // thousandths, delayed by ReorderMicros
	// ReorderMicros is the additional delay of a reordered packet, in microseconds.
	ReorderMicros int `json:"reorder_us"`
	// DelayMicros is the delay to the balancers of each zone, in microseconds.
	DelayMicros map[lb.Zone]int `json:"delay_us"`
	// Cut lists the zones whose balancers get no packets.
	Cut []lb.Zone `json:"cut"`
	// LeavingMillis is the time for which a leaving balancer still gets packets, in milliseconds.
	LeavingMillis int `json:"leaving_ms"`
}

// Counters holds the fabric's packet counters.
type Counters struct {
	Forwarded int `json:"sprayed"`  // forwarded to a balancer
	Lost      int `json:"lost"`     // by a fault, or because there was no balancer
	Refusals  int `json:"refusals"` // forwarded to a client
}

// Fabric forwards packets. Its methods may be called from several goroutines.
type Fabric struct {
	mutex        sync.Mutex
	random       *rand.Rand
	send         wire.Sender
	faults       Faults
	targets      []target
	leavingSince map[lb.NodeID]time.Time // when the machine list first showed the node as leaving
	counters     Counters
}

// target is a balancer that gets packets.
type target struct {
	zone lb.Zone
	data netip.AddrPort
}

// New returns a fabric without balancers. The seed determines every random choice.
func New(faults Faults, seed uint64, send wire.Sender) *Fabric {
	return &Fabric{
		random:       rand.New(rand.NewPCG(seed, seed)),
		send:         send,
		faults:       faults,
		leavingSince: map[lb.NodeID]time.Time{},
	}
}

// SetMachines replaces the balancers by those on the platform's present machine list.
func (fabric *Fabric) SetMachines(now time.Time, machines []storesim.Machine) {
	fabric.mutex.Lock()
	defer fabric.mutex.Unlock()
	fabric.targets = fabric.targets[:0]
	for _, machine := range machines {
		data, err := netip.ParseAddrPort(machine.Data)
		if err != nil || !fabric.receivesPackets(now, machine) {
			continue
		}
		fabric.targets = append(fabric.targets, target{zone: machine.Zone, data: data})
	}
}

// receivesPackets reports whether a machine gets packets, which a leaving one does only for a grace
// period.
func (fabric *Fabric) receivesPackets(now time.Time, machine storesim.Machine) bool {
	if !machine.Leaving {
		delete(fabric.leavingSince, machine.Node)
		return true
	}
	if _, seen := fabric.leavingSince[machine.Node]; !seen {
		fabric.leavingSince[machine.Node] = now
	}
	gracePeriod := time.Duration(fabric.faults.LeavingMillis) * time.Millisecond
	return now.Sub(fabric.leavingSince[machine.Node]) < gracePeriod
}

// Receive forwards a datagram: a refusal by a balancer to the client, anything else to a balancer.
func (fabric *Fabric) Receive(datagram []byte) {
	var decoded packet.Packet
	if packet.Decode(datagram, &decoded) == nil && decoded.Refusal.Verdict != 0 {
		fabric.mutex.Lock()
		fabric.counters.Refusals++
		fabric.mutex.Unlock()
		fabric.send(wire.ClientSocket(decoded.Destination().Addr()), datagram)
		return
	}
	fabric.forward(datagram)
}

func (fabric *Fabric) forward(datagram []byte) {
	fabric.mutex.Lock()
	defer fabric.mutex.Unlock()
	copies := 1
	if fabric.chance(fabric.faults.Duplicate) {
		copies = 2
	}
	for range copies {
		fabric.forwardCopy(datagram)
	}
}

func (fabric *Fabric) chance(thousandths int) bool { return fabric.random.IntN(1000) < thousandths }

func (fabric *Fabric) forwardCopy(datagram []byte) {
	if len(fabric.targets) == 0 || fabric.chance(fabric.faults.Loss) {
		fabric.counters.Lost++
		return
	}
	chosen := fabric.targets[fabric.random.IntN(len(fabric.targets))]
	if slices.Contains(fabric.faults.Cut, chosen.zone) {
		fabric.counters.Lost++
		return
	}
	fabric.counters.Forwarded++
	delay := time.Duration(fabric.faults.DelayMicros[chosen.zone]) * time.Microsecond
	if fabric.chance(fabric.faults.Reorder) {
		delay += time.Duration(fabric.faults.ReorderMicros) * time.Microsecond
	}
	if delay == 0 {
		fabric.send(chosen.data, datagram)
		return
	}
	delayed := bytes.Clone(datagram)
	time.AfterFunc(delay, func() { fabric.send(chosen.data, delayed) })
}

// Handler returns a handler for GET /counters, and GET and PUT /faults.
func (fabric *Fabric) Handler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /counters", func(response http.ResponseWriter, _ *http.Request) {
		fabric.mutex.Lock()
		defer fabric.mutex.Unlock()
		_ = json.NewEncoder(response).Encode(fabric.counters)
	})
	routes.HandleFunc("GET /faults", func(response http.ResponseWriter, _ *http.Request) {
		fabric.mutex.Lock()
		defer fabric.mutex.Unlock()
		_ = json.NewEncoder(response).Encode(fabric.faults)
	})
	routes.HandleFunc("PUT /faults", func(response http.ResponseWriter, request *http.Request) {
		var faults Faults
		if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
			http.Error(response, err.Error(), http.StatusBadRequest)
			return
		}
		fabric.mutex.Lock()
		fabric.faults = faults
		fabric.mutex.Unlock()
	})
	return routes
}
