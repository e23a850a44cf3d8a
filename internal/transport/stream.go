package transport

import (
	"context"
	"net"
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/message"
)

// These are the limits of TCP connections.
const (
	maxOutboundConnections = 8
	maxInboundConnections  = 64
	dialTimeout            = time.Second
	// streamTimeout limits the duration of a connection, from accept or dial until it is closed.
	streamTimeout = 10 * time.Second
	// maxStreamBytes limits the uncompressed bytes that one connection may deliver.
	maxStreamBytes = 4 * message.MaxLineBytes
)

// startStream sends one line over a separate connection in the background.
func (transport *Transport) startStream(item Queued) {
	select {
	case transport.outboundSlots <- struct{}{}:
	default:
		transport.meter.fault(FaultConnections)
		return
	}
	transport.running.Go(func() {
		defer func() { <-transport.outboundSlots }()
		if err := transport.writeStream(item); err != nil {
			transport.meter.fault(FaultNetwork)
			return
		}
		transport.meter.count(item.Type, Sent, Cost(len(item.Line)))
	})
}

func (transport *Transport) writeStream(item Queued) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(transport.context, "tcp", item.To.String())
	if err != nil {
		return err
	}
	defer connection.Close()
	stop := transport.closeWithTransport(connection)
	defer stop()
	if err := connection.SetDeadline(time.Now().Add(streamTimeout)); err != nil {
		return err
	}
	_, err = connection.Write(item.Line)
	return err
}

// closeWithTransport closes a connection when the transport closes, until stop is called.
func (transport *Transport) closeWithTransport(connection net.Conn) (stop func() bool) {
	return context.AfterFunc(transport.context, func() { connection.Close() })
}

func (transport *Transport) acceptLoop() {
	for {
		connection, err := transport.tcp.Accept()
		if transport.context.Err() != nil {
			return
		}
		if err != nil {
			transport.meter.fault(FaultNetwork)
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case transport.inboundSlots <- struct{}{}:
		default:
			transport.meter.fault(FaultConnections)
			connection.Close()
			continue
		}
		transport.running.Go(func() {
			defer func() { <-transport.inboundSlots }()
			transport.readStream(connection)
		})
	}
}

// acceptRetryDelay is the delay after a failed accept, for example without free file descriptors.
// It prevents a busy loop.
const acceptRetryDelay = 10 * time.Millisecond

func (transport *Transport) readStream(connection net.Conn) {
	defer connection.Close()
	stop := transport.closeWithTransport(connection)
	defer stop()
	if err := connection.SetDeadline(time.Now().Add(streamTimeout)); err != nil {
		transport.meter.fault(FaultNetwork)
		return
	}
	transport.readLines(connection, netip.AddrPort{})
}
