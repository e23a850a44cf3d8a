package platformsim

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RouterNode is the configuration of one balancer at a router.
type RouterNode struct {
	DataAddress netip.AddrPort
	ReadyURL    string // URL of its readiness probe
	Zone        string
}

// Timing of the readiness probes.
const (
	probeInterval      = 100 * time.Millisecond // shorter than the platform's 500 ms
	probeTimeout       = 300 * time.Millisecond
	unreadyAfterProbes = 2
)

// Router selects a node for each packet: the hash of the flow modulo the number of ready nodes.
// If the client has a zone and any ready node is in it, only the nodes of that zone are used.
type Router struct {
	client       http.Client
	mutex        sync.Mutex
	nodes        []RouterNode
	failedProbes []int
	loss         float64 // share of the packets that is lost
}

// NewRouter returns a router that probes the nodes until ctx ends. All nodes start as not ready.
func NewRouter(ctx context.Context, nodes []RouterNode) *Router {
	router := &Router{client: http.Client{Timeout: probeTimeout}, nodes: nodes, failedProbes: make([]int, len(nodes))}
	for index := range nodes {
		router.failedProbes[index] = unreadyAfterProbes
		go router.probe(ctx, index)
	}
	return router
}

func (router *Router) probe(ctx context.Context, index int) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		ready := router.isReady(ctx, router.nodes[index].ReadyURL)
		router.mutex.Lock()
		router.failedProbes[index]++
		if ready {
			router.failedProbes[index] = 0
		}
		router.mutex.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (router *Router) isReady(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := router.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ReadyCount returns the number of ready nodes.
func (router *Router) ReadyCount() int {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return len(router.readyNodes())
}

// selectableNodes returns the ready nodes, or all nodes if fewer than half are ready.
func (router *Router) selectableNodes() []RouterNode {
	ready := router.readyNodes()
	if 2*len(ready) < len(router.nodes) {
		return router.nodes
	}
	return ready
}

// readyNodes returns the nodes with fewer than unreadyAfterProbes failed probes in a row.
func (router *Router) readyNodes() []RouterNode {
	var ready []RouterNode
	for index, node := range router.nodes {
		if router.failedProbes[index] < unreadyAfterProbes {
			ready = append(ready, node)
		}
	}
	return ready
}

// SetLoss sets the share of the packets, from 0 to 1, that is lost from now on.
func (router *Router) SetLoss(share float64) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.loss = share
}

// pick returns the node that gets a packet of the flow, and whether the packet is lost instead.
func (router *Router) pick(flow flowKey, zone string) (node netip.AddrPort, lost bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	nodes := nodesInZone(router.selectableNodes(), zone)
	hash := xxhash.Sum64String(flow.client.String() + flow.frontend.String())
	return nodes[hash%uint64(len(nodes))].DataAddress, rand.Float64() < router.loss
}

// nodesInZone returns the nodes of a zone, or all nodes if the zone has none or is empty.
func nodesInZone(nodes []RouterNode, zone string) []RouterNode {
	var inZone []RouterNode
	for _, node := range nodes {
		if node.Zone == zone {
			inZone = append(inZone, node)
		}
	}
	if zone == "" || len(inZone) == 0 {
		return nodes
	}
	return inZone
}
