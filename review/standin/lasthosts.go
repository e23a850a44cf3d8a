package main

import (
	"fmt"
	"time"
)

func init() { scripts["last-hosts"] = lastHosts }

// rounds are the rounds of lastHosts: the time from a configuration change to the kill.
var rounds = []time.Duration{20 * time.Millisecond, 60 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond}

// lastHosts kills the process that last wrote to the store under a condition, just before the
// entries of all hosts of one service go without a word. The hosts serve on for a while. The rule
// DRAIN is judged at the other machines. It does so in several rounds, each with new hosts.
func lastHosts(w *world, trouble bool) (bool, error) {
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	late := 0
	for number, delay := range rounds {
		time.Sleep(7 * time.Second) // all machines are in touch, and a snapshot has been written
		if err := w.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
		count, err := lastHostsRound(w, trouble, number+1, delay)
		if err != nil {
			return false, err
		}
		late += count
	}
	return late > 0, nil
}

// lastHostsRound plays one round and returns how many openings reached a host too late.
func lastHostsRound(w *world, trouble bool, number int, delay time.Duration) (late int, err error) {
	victim := lastWriter(w.nodes)
	if victim == nil {
		return 0, fmt.Errorf("no balancer has written to the store")
	}
	w.routes[0]["timeout_ms"] = 2500 + number
	w.configure()
	time.Sleep(delay)
	if trouble {
		w.rec.say("round %d: kill %s, which last wrote to the store under a condition", number, victim.name)
		victim.kill()
		time.AfterFunc(3500*time.Millisecond, func() {
			w.rec.say("%s is started again", victim.name)
			victim.start(w.words)
		})
	}
	var gone []*host
	for _, h := range w.hosts {
		if h.service == routingDesk && !h.gone {
			h.gone = true
			gone = append(gone, h)
		}
	}
	acked := time.Now()
	for _, h := range gone {
		acked = w.store.remove("servers/" + h.id)
	}
	w.rec.say("round %d: the entries of all %d hosts of routing-desk are gone; the hosts serve on", number, len(gone))
	for time.Since(acked) < 5*time.Second {
		next := time.Now().Add(20 * time.Millisecond)
		for _, c := range w.clients {
			w.try(c, end{routeAddr, sheetPort}, func(*clientFlow, string, string) {})
		}
		time.Sleep(time.Until(next))
	}
	last := time.Duration(0)
	for _, h := range gone {
		for _, o := range w.openingsAt(h, acked.Add(3*time.Second)) {
			via := w.nodeAt(o.via)
			if via == victim {
				continue
			}
			late++
			last = max(last, o.at.Sub(acked))
			w.rec.logAt(o.at, "DRAIN: a SYN reaches host %s %.3f s after its entry went, through %s", h.id, o.at.Sub(acked).Seconds(), via.name)
		}
	}
	w.rec.say("round %d: DRAIN, through machines in touch: %d openings reach a host later than 3 s after its entry went, the last after %.3f s", number, late, last.Seconds())
	for _, h := range gone {
		h.end()
	}
	_, err = w.addHosts(service{routingDesk, []int{2, 1, 1}})
	return late, err
}
