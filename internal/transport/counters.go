package transport

import (
	"cmp"
	"slices"
	"sync"

	"robinpulley.example/robinpulley/internal/message"
)

// Direction distinguishes sent from received messages.
type Direction string

// These are the directions.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// Fault is the reason why a message or frame was not sent or not accepted.
type Fault string

// These are the faults.
const (
	FaultEncode        Fault = "encode"         // the codec rejected an outgoing message
	FaultDecode        Fault = "decode"         // the codec rejected a received line
	FaultQueueFull     Fault = "queue_full"     // the queue of the class was full
	FaultBudget        Fault = "budget"         // dropped because the byte budget was spent
	FaultBlocked       Fault = "blocked"        // blocked by a fault test
	FaultUnknownSender Fault = "unknown_sender" // above the rate limit for unknown senders
	FaultNetwork       Fault = "network"        // a send, dial or read failed in the operating system
	FaultConnections   Fault = "connections"    // all connection slots were in use
)

// Traffic counts the messages of one type in one direction.
type Traffic struct {
	Type      message.Type
	Direction Direction
	Messages  uint64
	Bytes     uint64 // bytes of the lines; sent ones include the overheads that Cost adds
}

// FaultCount is the number of occurrences of one fault.
type FaultCount struct {
	Fault Fault
	Count uint64
}

// Counters is a copy of a transport's counters, in a fixed order.
type Counters struct {
	Traffic []Traffic
	Faults  []FaultCount
}

type trafficKey struct {
	kind      message.Type
	direction Direction
}

// meter counts traffic and faults. It is safe for concurrent use.
type meter struct {
	mutex   sync.Mutex
	traffic map[trafficKey]*Traffic
	faults  map[Fault]uint64
}

func newMeter() *meter {
	return &meter{traffic: make(map[trafficKey]*Traffic), faults: make(map[Fault]uint64)}
}

func (meter *meter) count(kind message.Type, direction Direction, bytes int) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	key := trafficKey{kind, direction}
	entry := meter.traffic[key]
	if entry == nil {
		entry = &Traffic{Type: kind, Direction: direction}
		meter.traffic[key] = entry
	}
	entry.Messages++
	entry.Bytes += uint64(bytes)
}

func (meter *meter) fault(fault Fault) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.faults[fault]++
}

func (meter *meter) snapshot() Counters {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	var counters Counters
	for _, entry := range meter.traffic {
		counters.Traffic = append(counters.Traffic, *entry)
	}
	for fault, count := range meter.faults {
		counters.Faults = append(counters.Faults, FaultCount{Fault: fault, Count: count})
	}
	slices.SortFunc(counters.Traffic, func(left, right Traffic) int {
		return cmp.Or(cmp.Compare(left.Type, right.Type), cmp.Compare(left.Direction, right.Direction))
	})
	slices.SortFunc(counters.Faults, func(left, right FaultCount) int { return cmp.Compare(left.Fault, right.Fault) })
	return counters
}
