package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"
)

// router is the platform's routers (PROTOCOL.md, "Ingress", flow_hash mod).
type router struct {
	rec   *recorder
	nodes []*node

	mutex  sync.Mutex
	misses map[*node]int
}

// probeInterval is how often the routers ask a node whether it is ready.
const probeInterval = 500 * time.Millisecond

func newRouter(rec *recorder, nodes []*node) *router {
	r := &router{rec: rec, nodes: nodes, misses: map[*node]int{}}
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, n := range nodes {
		r.misses[n] = 2
		go r.probe(client, n)
	}
	return r
}

func (r *router) probe(client *http.Client, n *node) {
	for range time.Tick(probeInterval) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", n.addr, n.readyPort))
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			response.Body.Close()
		}
		r.mutex.Lock()
		was := r.misses[n] < 2
		if ready {
			r.misses[n] = 0
		} else {
			r.misses[n]++
		}
		is := r.misses[n] < 2
		r.mutex.Unlock()
		if was != is {
			r.rec.log("routers: %s in: %v", n.name, is)
		}
	}
}

// in reports whether the routers use a node.
func (r *router) in(n *node) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.misses[n] < 2
}

// pick returns the node of a packet: by a hash over the zone's nodes that are in. A zone with fewer
// than half of its nodes in uses them all; a zone with none in uses those of another.
func (r *router) pick(zone string, key flowKey) *node {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all, in, others []*node
	for _, n := range r.nodes {
		switch {
		case n.zone == zone:
			all = append(all, n)
			if r.misses[n] < 2 {
				in = append(in, n)
			}
		case r.misses[n] < 2:
			others = append(others, n)
		}
	}
	use := in
	switch {
	case len(in) == 0 && len(others) > 0:
		use = others
	case 2*len(in) < len(all):
		use = all
	}
	if len(use) == 0 {
		return nil
	}
	h := fnv.New64a()
	fmt.Fprint(h, flowName(key))
	return use[h.Sum64()%uint64(len(use))]
}
