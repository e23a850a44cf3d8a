package soak

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"time"

	"robinpulley.example/robinpulley/internal/lab/platformsim"
)

// LockNode reserves the process of a node for one fault. It returns locked=false if another fault
// has reserved it. The returned function releases the node.
func (s *Site) LockNode(index int) (n *Node, unlock func(), locked bool) {
	n = s.Nodes[index]
	if !n.mutex.TryLock() {
		return nil, nil, false
	}
	return n, n.mutex.Unlock, true
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(signal syscall.Signal) error { return n.process.Signal(signal) }

// AwaitEnd waits for the end of the node's process and returns its exit code.
func (n *Node) AwaitEnd(ctx context.Context) (int, error) { return n.process.Wait(ctx) }

// AwaitReady waits until the node reports that it is ready.
func (n *Node) AwaitReady(ctx context.Context) error { return n.process.AwaitServing(ctx, n.readyURL) }

// IsWatcher reports whether the node says in its metrics that it reads the store for the others. A
// node that does not answer is not the watcher: other nodes take over its task.
func (n *Node) IsWatcher(ctx context.Context) bool {
	const line = "\nrobinpulley_reader 1\n"
	url := strings.TrimSuffix(n.readyURL, "/readyz") + "/metrics"
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return err == nil && strings.Contains(string(text), line)
}

// metricsTimeout bounds the time until a node has answered with its metrics.
const metricsTimeout = 200 * time.Millisecond

// LockReplica reserves a replica and its host for one fault. It returns locked=false if another
// fault has reserved the replica. The returned function sets the replica's host, which may be a
// new one, and releases the replica.
func (s *Site) LockReplica(index int) (replica *Replica, host *platformsim.Host, unlock func(*platformsim.Host), locked bool) {
	replica = s.Replicas[index]
	if !replica.mutex.TryLock() {
		return nil, nil, nil, false
	}
	return replica, replica.host, func(host *platformsim.Host) {
		replica.host = host
		replica.mutex.Unlock()
	}, true
}

// DisturbAllNodes records the start of a fault on all nodes. The returned function records its end.
func (s *Site) DisturbAllNodes() (end func()) {
	var nodes []netip.AddrPort
	for _, n := range s.Nodes {
		nodes = append(nodes, n.Data)
	}
	return s.Checker.BeginDisturbance(nodes...)
}

// postSurgeTime is the quiet period after the settling time of a surge. No other fault adds load
// in this period, so that late effects of the surge can be observed.
const postSurgeTime = 1500 * time.Millisecond

// LockLoad reserves the site for one fault that adds load or removes capacity, and begins a surge
// at the checker. It returns locked=false if another such fault is active. The returned function
// ends the surge, waits for the settling time and a quiet period, and releases the site.
func (s *Site) LockLoad() (unlock func(), locked bool) {
	if !s.loadMutex.TryLock() {
		return nil, false
	}
	endSurge := s.Checker.BeginSurge()
	return func() {
		endSurge()
		if settle := s.Settings.Bounds.SurgeSettleTime; settle > 0 {
			time.Sleep(settle + postSurgeTime)
		}
		s.loadMutex.Unlock()
	}, true
}

// StartSurge makes the clients of a zone send several times their usual number of requests. The
// returned function ends the additional load.
func (s *Site) StartSurge(zone int) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.generateSurge(ctx, zone)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// MoveClients routes the clients of a zone, with their open flows, to the nodes of another zone.
// The returned function reverts this.
func (s *Site) MoveClients(from, to int) (revert func()) {
	s.clients[from].SetZone(s.zoneName(to))
	return func() { s.clients[from].SetZone(s.zoneName(from)) }
}
