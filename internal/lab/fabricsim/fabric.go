// Package fabricsim is a stand-in for the platform's fabric: it sprays the
// callers' packets at random over the balancers on the machine list, with
// loss, duplication, reordering and delay, and takes refusals back to callers.
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

// Faults say how the fabric misbehaves; the zero value passes everything at once.
type Faults struct {
	Loss      int `json:"loss"`      // thousandths
	Duplicate int `json:"duplicate"` // thousandths
	Reorder   int `json:"reorder"`   // thousandths, held for ReorderMicros
	// ReorderMicros is how long a reordered packet is held, in microseconds.
	ReorderMicros int `json:"reorder_us"`
	// DelayMicros is the delay to the balancers of each zone, in microseconds.
	DelayMicros map[lb.Zone]int `json:"delay_us"`
	// Cut lists zones that get no packets.
	Cut []lb.Zone `json:"cut"`
	// LeavingMillis is how long a leaving balancer still gets packets.
	LeavingMillis int `json:"leaving_ms"`
}

// Counters count packets.
type Counters struct {
	Sprayed  int `json:"sprayed"`
	Lost     int `json:"lost"` // by the settings, or with no balancer known
	Refusals int `json:"refusals"`
}

// Fabric sprays packets. All methods may be called from several goroutines.
type Fabric struct {
	mutex        sync.Mutex
	random       *rand.Rand
	send         wire.Sender
	faults       Faults
	targets      []target
	leavingSince map[lb.NodeID]time.Time // first seen as leaving
	counters     Counters
}

// target is a balancer that gets packets.
type target struct {
	zone lb.Zone
	data netip.AddrPort
}

// New gives a fabric without balancers. The seed decides every random choice.
func New(faults Faults, seed uint64, send wire.Sender) *Fabric {
	return &Fabric{
		random:       rand.New(rand.NewPCG(seed, seed)),
		send:         send,
		faults:       faults,
		leavingSince: map[lb.NodeID]time.Time{},
	}
}

// SetMachines takes the machine list as the platform now gives it.
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

func (fabric *Fabric) receivesPackets(now time.Time, machine storesim.Machine) bool {
	if !machine.Leaving {
		delete(fabric.leavingSince, machine.Node)
		return true
	}
	if _, seen := fabric.leavingSince[machine.Node]; !seen {
		fabric.leavingSince[machine.Node] = now
	}
	grace := time.Duration(fabric.faults.LeavingMillis) * time.Millisecond
	return now.Sub(fabric.leavingSince[machine.Node]) < grace
}

// Receive takes a datagram: a refusal from a balancer goes to its caller,
// anything else to a balancer.
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
	fabric.counters.Sprayed++
	delay := time.Duration(fabric.faults.DelayMicros[chosen.zone]) * time.Microsecond
	if fabric.chance(fabric.faults.Reorder) {
		delay += time.Duration(fabric.faults.ReorderMicros) * time.Microsecond
	}
	if delay == 0 {
		fabric.send(chosen.data, datagram)
		return
	}
	held := bytes.Clone(datagram)
	time.AfterFunc(delay, func() { fabric.send(chosen.data, held) })
}

// Handler serves GET /counters, and GET and PUT /faults.
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
