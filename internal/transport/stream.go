package transport

import (
	"context"
	"net"
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/message"
)

// Limits of TCP connections.
const (
	outboundConnections = 8
	inboundConnections  = 64
	dialTimeout         = time.Second
	// streamTimeout bounds a whole connection, from accept or dial to its end.
	streamTimeout = 10 * time.Second
	// streamBytes bounds what one connection may bring, uncompressed.
	streamBytes = 4 * message.MaxLineBytes
)

// startStream sends one line over a connection of its own, in the background.
func (transport *Transport) startStream(item Queued) {
	select {
	case transport.outbound <- struct{}{}:
	default:
		transport.meter.fault(FaultConnections)
		return
	}
	transport.running.Go(func() {
		defer func() { <-transport.outbound }()
		if err := transport.stream(item); err != nil {
			transport.meter.fault(FaultNetwork)
			return
		}
		transport.meter.count(item.Type, Sent, Cost(len(item.Line)))
	})
}

func (transport *Transport) stream(item Queued) error {
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

// closeWithTransport ends a connection early when the transport closes.
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
			time.Sleep(acceptPause)
			continue
		}
		select {
		case transport.inbound <- struct{}{}:
		default:
			transport.meter.fault(FaultConnections)
			connection.Close()
			continue
		}
		transport.running.Go(func() {
			defer func() { <-transport.inbound }()
			transport.readStream(connection)
		})
	}
}

// acceptPause keeps a failing accept (no file descriptors left) from spinning.
const acceptPause = 10 * time.Millisecond

func (transport *Transport) readStream(connection net.Conn) {
	defer connection.Close()
	stop := transport.closeWithTransport(connection)
	defer stop()
	if err := connection.SetDeadline(time.Now().Add(streamTimeout)); err != nil {
		transport.meter.fault(FaultNetwork)
		return
	}
	transport.takeLines(connection, netip.AddrPort{})
}
