package node

import (
	"net/netip"

	"github.com/prometheus/client_golang/prometheus"

	"robinpulley.example/robinpulley/internal/dataplane"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/metrics"
	"robinpulley.example/robinpulley/internal/packet"
)

// planeOptions returns the options of the data plane.
func (node *Node) planeOptions() dataplane.Options {
	return dataplane.Options{
		Listen:      node.settings.DataAddress,
		Decide:      node.engine.decide,
		PeerAddress: node.peerAddress,
		ReplyTo:     node.settings.FabricReplyAddresses,
		Guard:       node.guard,
	}
}

// peerAddress returns the Geneve endpoint of a member, unless the member is on the other side of a
// simulated partition.
func (node *Node) peerAddress(id lb.NodeID) (netip.AddrPort, bool) {
	address, found := node.directory.dataAddress(id)
	return address, found && !node.partition.blocks(address)
}

// fabricPackets returns the number of packets received from the fabric.
func (node *Node) fabricPackets() uint64 { return node.endpoints.Plane.Counters().FromFabric }

// Metrics of the data plane.
var (
	metricReceived = metrics.New(prometheus.CounterValue, "received_packets_total",
		"Well-formed packets received, by source (fabric, peer).", "source")
	metricReceivedBytes = metrics.New(prometheus.CounterValue, "received_bytes_total",
		"Bytes of datagrams received on the data address.")
	metricSent = metrics.New(prometheus.CounterValue, "sent_packets_total",
		"Packets handed to the socket, by action (forward, relay, refuse).", "action")
	metricMalformed = metrics.New(prometheus.CounterValue, "malformed_packets_total",
		"Datagrams dropped because they are malformed, by cause.", "cause")
	metricUnsent = metrics.New(prometheus.CounterValue, "unsent_packets_total",
		"Packets that could not be sent, by cause (unanswered, unknown_peer, unsendable, wrong_service, loop).", "cause")
	metricSocketErrors = metrics.New(prometheus.CounterValue, "socket_errors_total",
		"Errors of the data socket, by direction (read, write).", "direction")
)

func (output sampler) dataPlane(node *Node) {
	counters := node.endpoints.Plane.Counters()
	output.Count(metricReceived, counters.FromFabric, "fabric")
	output.Count(metricReceived, counters.FromPeers, "peer")
	output.Count(metricReceivedBytes, counters.ReceivedBytes)
	output.Count(metricSent, counters.Forwarded, "forward")
	output.Count(metricSent, counters.Relayed, "relay")
	output.Count(metricSent, counters.Refused, "refuse")
	for cause, count := range counters.Malformed {
		if count > 0 {
			output.Count(metricMalformed, count, packet.Cause(cause).String())
		}
	}
	output.Count(metricUnsent, counters.Unanswered, "unanswered")
	output.Count(metricUnsent, counters.UnknownPeer, "unknown_peer")
	output.Count(metricUnsent, counters.Unsendable, "unsendable")
	output.Count(metricUnsent, counters.WrongService, "wrong_service")
	output.Count(metricUnsent, counters.Loops, "loop")
	output.Count(metricSocketErrors, counters.ReadErrors, "read")
	output.Count(metricSocketErrors, counters.WriteErrors, "write")
}
