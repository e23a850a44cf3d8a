package main

import (
	"fmt"
	"time"
)

// deployments are the deployments of the scripts.
var deployments = map[string]plan{"config-storm": kfrAccra, "last-hosts": kfrAccra, "restart": withStaleSeeds(kfrAccra, 2), "kill-all": kfrAccra}

func init() { scripts["config-storm"] = configStorm }

// Doses of the disruptions; see claim.txt.
const (
	bigConfigRoutes = 350
	bigConfigs      = 5
	stormGap        = 60 * time.Millisecond
	stormLength     = 1500 * time.Millisecond
	killAfter       = 150 * time.Millisecond // from the start of the storm
	restartAfter    = 3500 * time.Millisecond
	// droppedPort and newPort are those of the routes that the last configuration drops and adds.
	droppedPort = 7443
	newPort     = 9443
)

// configStorm lets the configuration grow, sends configurations in quick succession, and kills the
// process that last wrote to the store under a condition while they come. Then a route is added and
// a host says that it drains. The rules CONFIG and DRAIN are judged at the other machines.
func configStorm(w *world, trouble bool) (bool, error) {
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	w.routes = append(w.routes[:1], append([]map[string]any{route("r-old", droppedPort, driverGateway, "unsafe")}, w.routes[1:]...)...)
	for range bigConfigs {
		w.addRoutes(bigConfigRoutes)
		w.configure()
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(6 * time.Second) // all machines are in touch, and a snapshot may be written
	victim := lastWriter(w.nodes)
	if victim == nil {
		return false, fmt.Errorf("no balancer has written to the store")
	}
	w.rec.say("configurations come every %v for %v", stormGap, stormLength)
	stormStart := time.Now()
	killed := false
	number := 0
	for time.Since(stormStart) < stormLength {
		if trouble && !killed && time.Since(stormStart) >= killAfter {
			killed = true
			w.rec.say("kill %s, which last wrote to the store under a condition", victim.name)
			victim.kill()
			time.AfterFunc(restartAfter, func() {
				w.rec.say("%s is started again", victim.name)
				victim.start(w.words)
			})
		}
		next := time.Now().Add(stormGap)
		number++
		w.routes[len(w.routes)-1]["timeout_ms"] = 2000 + number
		w.configure()
		time.Sleep(time.Until(next))
	}
	time.Sleep(500 * time.Millisecond)

	w.routes = append(w.routes[:1], w.routes[2:]...) // drops the route to droppedPort
	w.routes = append(w.routes, route("r-new", newPort, driverGateway, "unsafe"))
	configAcked := w.configure()
	leaving := w.hosts[0]
	leaving.drain()
	drainAcked := w.announce(leaving)
	w.rec.say("the route to port %d is dropped, one to port %d is added; host %s says draining", droppedPort, newPort, leaving.id)

	j := &judgement{w: w, victim: victim, configAcked: configAcked}
	for time.Since(configAcked) < 28*time.Second {
		sent := time.Now()
		for _, c := range w.clients {
			for _, port := range []uint16{newPort, droppedPort, confirmPort} {
				w.try(c, end{routeAddr, port}, j.flow)
			}
		}
		time.Sleep(time.Until(sent.Add(50 * time.Millisecond)))
	}
	time.Sleep(1500 * time.Millisecond)
	j.openings(leaving, drainAcked)
	ok, gone, largest := w.store.watchAnswers()
	w.rec.say("watches: %d answered, %d with 410; the largest answer has %d bytes", ok, gone, largest)
	w.rec.say("CONFIG, through machines in touch, sent later than 3 s after the acknowledgement: %d openings taken by hosts on the dropped route (%d requests run), %d refused on the new route", j.dropped, j.ranDropped, j.refused)
	w.rec.say("DRAIN, through machines in touch: %d openings reach the draining host later than 3 s after the acknowledgement", j.drained)
	return j.dropped > 0 || j.refused > 0 || j.drained > 0, nil
}

// judgement counts what broke a rule. Only machines in touch count: all but the one that was killed.
type judgement struct {
	w           *world
	victim      *node
	configAcked time.Time

	dropped, ranDropped, refused, drained int
}

// late reports whether a flow was opened later than config_apply_ms after the acknowledgement.
func (j *judgement) late(flow *clientFlow) bool {
	return flow.opened.Sub(j.configAcked) > 3*time.Second
}

// flow judges the outcome of a flow.
func (j *judgement) flow(flow *clientFlow, outcome, request string) {
	flow.mutex.Lock()
	via, resetBy := j.w.nodeAt(flow.sentBy), flow.resetBy
	flow.mutex.Unlock()
	j.w.mutex.Lock()
	defer j.w.mutex.Unlock()
	if via == j.victim || !j.late(flow) {
		return
	}
	after := flow.opened.Sub(j.configAcked).Seconds()
	switch {
	case flow.key.route.port == newPort && outcome == "reset" && resetBy == "system":
		j.refused++
		j.w.rec.log("CONFIG: a SYN to the new route, sent %.3f s after the acknowledgement, is refused by %s", after, via.name)
	case flow.key.route.port == droppedPort && outcome == "open":
		j.dropped++
		if request == "served" {
			j.ranDropped++
		}
		j.w.rec.log("CONFIG: a SYN to the dropped route, sent %.3f s after the acknowledgement, is taken by a host through %s; its request: %s", after, via.name, request)
	}
}

// openings judges the openings that reached a draining host.
func (j *judgement) openings(leaving *host, acked time.Time) {
	for _, o := range j.w.openingsAt(leaving, acked.Add(3*time.Second)) {
		via := j.w.nodeAt(o.via)
		if via == j.victim {
			continue
		}
		j.drained++
		j.w.rec.logAt(o.at, "DRAIN: a SYN reaches host %s %.3f s after the store acknowledged it as draining, through %s", leaving.id, o.at.Sub(acked).Seconds(), via.name)
	}
}

// try opens a flow in the background, sends one request on it and closes it.
func (w *world) try(c *client, to end, judge func(flow *clientFlow, outcome, request string)) {
	go func() {
		flow, outcome := c.open(to)
		request := ""
		if outcome == "open" {
			request = flow.request(fmt.Sprintf("%s-%d", c.addr, flow.key.client.port), 2*time.Second)
			flow.close()
		}
		judge(flow, outcome, request)
	}()
}
