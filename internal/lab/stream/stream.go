// Package stream implements a small TCP endpoint for the simulators. It supports openings with
// data (as in TCP Fast Open, RFC 7413), cumulative acknowledgements, retransmission with a fixed
// timer and in-order delivery. It has no congestion control.
package stream

import (
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/lab/wire"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/packet"
)

// Limits of an endpoint.
const (
	MaxPayload               = 1000 // bytes in one segment
	maxInFlightSegments      = 32
	retransmitDelay          = 200 * time.Millisecond
	maxRetransmittedSegments = 4 // per retransmission
)

// State is the state of an endpoint.
type State uint8

// The states of an endpoint.
const (
	Opening State = iota
	Established
	Reset // by the remote end
)

// Endpoint is one end of a flow. Its methods queue the segments that are to be sent, and Output
// returns them.
type Endpoint struct {
	Local  netip.AddrPort
	Remote netip.AddrPort
	State  State
	// Progress is the time at which the remote end last acknowledged or sent something new.
	Progress time.Time

	unacked        uint32 // sequence number of the first byte of pending
	pending        []byte // data not yet acknowledged
	sentBytes      int    // bytes of pending that were sent
	openingUnacked bool   // the SYN of this end is not acknowledged
	closing        bool   // a FIN follows after pending
	finSent        bool
	finAcked       bool

	nextExpected uint32 // next sequence number expected
	outOfOrder   map[uint32]packet.Segment
	finReceived  bool

	initiator    bool // this end opened the flow
	retransmitAt time.Time
	output       []wire.Segment
}

// Dial opens a flow. The data, at most MaxPayload bytes, is sent with the opening.
func Dial(now time.Time, local, remote netip.AddrPort, initial uint32, data []byte) *Endpoint {
	endpoint := newEndpoint(now, local, remote, initial)
	endpoint.initiator = true
	endpoint.pending = append(endpoint.pending, data...)
	endpoint.sentBytes = len(data)
	endpoint.sendOpening(now)
	return endpoint
}

// Accept answers an opening and returns the data that the opening carries.
func Accept(now time.Time, opening *wire.Segment, initial uint32) (*Endpoint, []byte) {
	endpoint := newEndpoint(now, opening.Destination, opening.Source, initial)
	endpoint.State = Established
	endpoint.nextExpected = opening.Sequence + opening.Length()
	endpoint.sendOpening(now)
	return endpoint, opening.Payload
}

func newEndpoint(now time.Time, local, remote netip.AddrPort, initial uint32) *Endpoint {
	return &Endpoint{
		Local:          local,
		Remote:         remote,
		Progress:       now,
		unacked:        initial + 1,
		openingUnacked: true,
		outOfOrder:     map[uint32]packet.Segment{},
	}
}

// Output returns the segments to send and removes them from the endpoint.
func (endpoint *Endpoint) Output() []wire.Segment {
	output := endpoint.output
	endpoint.output = nil
	return output
}

// Send queues data after the data queued before.
func (endpoint *Endpoint) Send(now time.Time, data []byte) {
	endpoint.pending = append(endpoint.pending, data...)
	endpoint.flush(now)
}

// Close closes this direction of the flow after the queued data.
func (endpoint *Endpoint) Close(now time.Time) {
	endpoint.closing = true
	endpoint.flush(now)
}

// Abort resets the flow.
func (endpoint *Endpoint) Abort() {
	endpoint.emit(packet.FlagRST|packet.FlagACK, endpoint.unacked, nil)
}

// AllAcknowledged reports whether everything queued was sent and acknowledged.
func (endpoint *Endpoint) AllAcknowledged() bool {
	return !endpoint.openingUnacked && len(endpoint.pending) == 0 && (!endpoint.closing || endpoint.finAcked)
}

// RemoteClosed reports whether the remote end has closed its direction and all its data has arrived.
func (endpoint *Endpoint) RemoteClosed() bool { return endpoint.finReceived }

// Finished reports whether both directions are closed and acknowledged.
func (endpoint *Endpoint) Finished() bool { return endpoint.finReceived && endpoint.finAcked }

// Receive handles one segment and returns the data that is now in order.
func (endpoint *Endpoint) Receive(now time.Time, segment *packet.Segment) []byte {
	if segment.Flags.Has(packet.FlagRST) {
		endpoint.State = Reset
		return nil
	}
	if segment.Flags.Has(packet.FlagSYN) && !endpoint.openingUnacked {
		endpoint.sendAcknowledgement() // a retransmitted SYN or SYN-ACK
		return nil
	}
	if segment.Flags.Has(packet.FlagSYN) && endpoint.initiator {
		if segment.Acknowledgement == endpoint.unacked-1 {
			return nil
		}
		endpoint.State = Established
		endpoint.nextExpected = segment.Sequence + 1
	} else if segment.Flags.Has(packet.FlagSYN) {
		endpoint.sendOpening(now) // the SYN-ACK of this end was lost
		return nil
	}
	if endpoint.State == Opening {
		return nil
	}
	if segment.Flags.Has(packet.FlagACK) {
		endpoint.receiveAcknowledgement(now, segment.Acknowledgement)
	}
	var delivered []byte
	if segment.Length() > 0 {
		delivered = endpoint.reassemble(now, *segment)
		endpoint.sendAcknowledgement()
	}
	endpoint.flush(now)
	return delivered
}

// Tick retransmits unacknowledged segments when the retransmission timer has expired.
func (endpoint *Endpoint) Tick(now time.Time) {
	if endpoint.State == Reset || endpoint.AllAcknowledged() || now.Before(endpoint.retransmitAt) {
		return
	}
	if endpoint.openingUnacked {
		endpoint.sendOpening(now)
		return
	}
	endpoint.retransmitAt = now.Add(retransmitDelay)
	for i := 0; i < maxRetransmittedSegments && i*MaxPayload < endpoint.sentBytes; i++ {
		endpoint.sendData(i*MaxPayload, endpoint.sentBytes)
	}
	if endpoint.finSent && endpoint.sentBytes <= maxRetransmittedSegments*MaxPayload {
		endpoint.sendFIN()
	}
}

func (endpoint *Endpoint) sendOpening(now time.Time) {
	endpoint.retransmitAt = now.Add(retransmitDelay)
	if endpoint.initiator {
		endpoint.emit(packet.FlagSYN, endpoint.unacked-1, endpoint.pending[:endpoint.sentBytes])
		return
	}
	endpoint.emit(packet.FlagSYN|packet.FlagACK, endpoint.unacked-1, nil)
}

// flush sends the queued data that fits in the window, and the FIN after all data.
func (endpoint *Endpoint) flush(now time.Time) {
	if endpoint.openingUnacked || endpoint.State != Established {
		return
	}
	for endpoint.sentBytes < len(endpoint.pending) && endpoint.sentBytes < maxInFlightSegments*MaxPayload {
		endpoint.retransmitAt = now.Add(retransmitDelay)
		endpoint.sentBytes += endpoint.sendData(endpoint.sentBytes, len(endpoint.pending))
	}
	if endpoint.closing && !endpoint.finSent && !endpoint.finAcked && endpoint.sentBytes == len(endpoint.pending) {
		endpoint.finSent = true
		endpoint.retransmitAt = now.Add(retransmitDelay)
		endpoint.sendFIN()
	}
}

func (endpoint *Endpoint) sendData(from, end int) int {
	data := endpoint.pending[from:min(from+MaxPayload, end)]
	endpoint.emit(packet.FlagACK|packet.FlagPSH, endpoint.unacked+uint32(from), data)
	return len(data)
}

func (endpoint *Endpoint) sendFIN() {
	endpoint.emit(packet.FlagACK|packet.FlagFIN, endpoint.unacked+uint32(len(endpoint.pending)), nil)
}

func (endpoint *Endpoint) sendAcknowledgement() {
	endpoint.emit(packet.FlagACK, endpoint.unacked+uint32(endpoint.sentBytes), nil)
}

func (endpoint *Endpoint) emit(flags packet.TCPFlags, sequence uint32, data []byte) {
	segment := wire.Segment{Source: endpoint.Local, Destination: endpoint.Remote, Protocol: lb.TCP}
	segment.Flags = flags
	segment.Sequence = sequence
	segment.Acknowledgement = endpoint.nextExpected
	segment.Payload = append([]byte(nil), data...)
	endpoint.output = append(endpoint.output, segment)
}

// receiveAcknowledgement applies a cumulative acknowledgement.
func (endpoint *Endpoint) receiveAcknowledgement(now time.Time, upTo uint32) {
	advance := int(int32(upTo - endpoint.unacked))
	limit := endpoint.sentBytes
	if endpoint.finSent {
		limit++
	}
	if advance < 0 || advance > limit {
		return
	}
	if endpoint.openingUnacked || advance > 0 {
		endpoint.Progress = now
		endpoint.retransmitAt = now.Add(retransmitDelay)
	}
	endpoint.openingUnacked = false
	if endpoint.finSent && advance > len(endpoint.pending) {
		endpoint.finAcked = true
	}
	bytes := min(advance, len(endpoint.pending))
	endpoint.pending = endpoint.pending[bytes:]
	endpoint.sentBytes -= bytes
	endpoint.unacked += uint32(bytes)
	if endpoint.finAcked {
		endpoint.unacked = upTo
		endpoint.finSent = false
	}
}

// reassemble stores a segment and returns the data that is now in order.
func (endpoint *Endpoint) reassemble(now time.Time, segment packet.Segment) []byte {
	if int32(segment.Sequence-endpoint.nextExpected) >= 0 && !segment.Flags.Has(packet.FlagSYN) {
		endpoint.outOfOrder[segment.Sequence] = segment
	}
	var delivered []byte
	for {
		following, found := endpoint.outOfOrder[endpoint.nextExpected]
		if !found {
			return delivered
		}
		delete(endpoint.outOfOrder, endpoint.nextExpected)
		endpoint.nextExpected += following.Length()
		endpoint.Progress = now
		delivered = append(delivered, following.Payload...)
		if following.Flags.Has(packet.FlagFIN) {
			endpoint.finReceived = true
		}
	}
}
