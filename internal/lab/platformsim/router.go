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

// RouterNode is one balancer as a router knows it.
type RouterNode struct {
	Data  netip.AddrPort
	Ready string // URL of its readiness
	Zone  string
}

// Times of the probes.
const (
	probeInterval = 100 * time.Millisecond // the platform's is 500 ms
	probeTimeout  = 300 * time.Millisecond
	probeMisses   = 2
)

// Router picks a node for each packet, by hash modulo the number of nodes that are in; of
// those in the zone of its caller, if the caller has one and any of them is.
type Router struct {
	client http.Client
	mutex  sync.Mutex
	nodes  []RouterNode
	misses []int
	loss   float64 // part of the packets that is lost
}

// NewRouter probes the nodes until ctx ends. All are out at first.
func NewRouter(ctx context.Context, nodes []RouterNode) *Router {
	router := &Router{client: http.Client{Timeout: probeTimeout}, nodes: nodes, misses: make([]int, len(nodes))}
	for index := range nodes {
		router.misses[index] = probeMisses
		go router.probe(ctx, index)
	}
	return router
}

func (router *Router) probe(ctx context.Context, index int) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		ready := router.isReady(ctx, router.nodes[index].Ready)
		router.mutex.Lock()
		router.misses[index]++
		if ready {
			router.misses[index] = 0
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

// In is how many nodes are in.
func (router *Router) In() int {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return len(router.answering())
}

// in gives the nodes that are in, or all if fewer than half are.
func (router *Router) in() []RouterNode {
	in := router.answering()
	if 2*len(in) < len(router.nodes) {
		return router.nodes
	}
	return in
}

// answering gives the nodes that have answered their last probes.
func (router *Router) answering() []RouterNode {
	var in []RouterNode
	for index, node := range router.nodes {
		if router.misses[index] < probeMisses {
			in = append(in, node)
		}
	}
	return in
}

// SetLoss has a part of all packets, from 0 to 1, lost from now on.
func (router *Router) SetLoss(part float64) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.loss = part
}

// pick gives the node for a flow's packets at present, and whether this one is lost.
func (router *Router) pick(flow flowKey, zone string) (node netip.AddrPort, lost bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	in := inZone(router.in(), zone)
	hash := xxhash.Sum64String(flow.caller.String() + flow.front.String())
	return in[hash%uint64(len(in))].Data, rand.Float64() < router.loss
}

// inZone gives the nodes of a zone, or all if it has none or no zone is meant.
func inZone(nodes []RouterNode, zone string) []RouterNode {
	var near []RouterNode
	for _, node := range nodes {
		if node.Zone == zone {
			near = append(near, node)
		}
	}
	if zone == "" || len(near) == 0 {
		return nodes
	}
	return near
}
