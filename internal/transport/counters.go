package transport

import (
	"cmp"
	"slices"
	"sync"

	"robinpulley.example/robinpulley/internal/message"
)

// Direction tells sent from received messages.
type Direction string

// The directions.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// Fault names why a message or frame was not sent or not taken.
type Fault string

// The faults.
const (
	FaultEncode        Fault = "encode"         // a message of our own that the codec refuses
	FaultDecode        Fault = "decode"         // a line that the codec refuses
	FaultQueueFull     Fault = "queue_full"     // more waiting than the queue holds
	FaultBudget        Fault = "budget"         // dropped while it waited: the byte budget is spent
	FaultBlocked       Fault = "blocked"        // cut by the fault tests
	FaultUnknownSender Fault = "unknown_sender" // beyond the allowance of unknown senders
	FaultNetwork       Fault = "network"        // the system refused to send, dial or read
	FaultConnections   Fault = "connections"    // more connections than allowed at once
)

// Traffic counts one type of message in one direction.
type Traffic struct {
	Type      message.Type
	Direction Direction
	Messages  uint64
	Bytes     uint64 // lines, with the overheads of Cost when sent
}

// FaultCount counts one fault.
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

// meter counts; it is safe for concurrent use.
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
