package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

func init() {
	scripts["restart"] = func(w *world, trouble bool) (bool, error) { return restart(w, trouble, (*flowJudge).restartSeed) }
	scripts["kill-all"] = func(w *world, trouble bool) (bool, error) { return restart(w, trouble, (*flowJudge).killAll) }
}

// withStaleSeeds returns a deployment some of whose seeds are stale.
func withStaleSeeds(p plan, count int) plan {
	p.staleSeeds = count
	return p
}

// Doses and times of the script; see claim.txt.
const (
	restartRounds = 7
	roundTime     = 13 * time.Second
	stallTime     = 3 * time.Second
	stalledHosts  = 2                       // of 18
	openings      = 100                     // new flows a second while the hosts stall
	stopAfter     = 900 * time.Millisecond  // from the start of the stall to the SIGTERM
	downTime      = 1300 * time.Millisecond // from the end of all balancers to their start
	contactTime   = 4 * time.Second
	// minPause and maxPause bound the pauses of a client between two requests on a flow.
	minPause, maxPause = 5 * time.Second, 9 * time.Second
)

// disturb is what a round does to balancers while hosts stall.
type disturb func(j *flowJudge, trouble bool) error

// restart lets two hosts stall for a while and meanwhile disturbs balancers. The rule FLOW is judged.
// It does so in several rounds.
func restart(w *world, trouble bool, d disturb) (bool, error) {
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	end := time.Now().Add(6*time.Second + restartRounds*roundTime)
	for _, c := range w.clients[:2] {
		go w.shortFlows(c, end)
	}
	time.Sleep(6 * time.Second) // all machines are in touch
	j := &flowJudge{w: w, startedAt: map[*node]time.Time{}}
	for number := range restartRounds {
		next := time.Now().Add(roundTime)
		if err := j.round(number, trouble, next, d); err != nil {
			return false, err
		}
		time.Sleep(time.Until(next))
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.rec.say("long flows: %d opened, %d requests served", j.opened, j.served)
	w.rec.say("FLOW: open flows reset by another host than theirs: %d, of them through a machine that was in touch: %d; reset by the system: %d; not counted, by a host that had stalled less than %v before: %d", j.byOther, j.inTouch, j.bySystem, contactTime, j.excused)
	return j.byOther+j.bySystem > 0, nil
}

// round plays one round, whose flows last until limit.
func (j *flowJudge) round(number int, trouble bool, limit time.Time, d disturb) error {
	w := j.w
	local := w.clients[2]
	first := 10 + stalledHosts*(number%2) // hosts of the same zone
	stalled := w.hosts[first : first+stalledHosts]
	for _, h := range stalled {
		h.stall.Lock()
	}
	stallStart := time.Now()
	w.mutex.Lock()
	j.stallEnd = stallStart.Add(stallTime)
	w.mutex.Unlock()
	w.rec.say("round %d: %d hosts stall for %v", number+1, len(stalled), stallTime)
	restarted := make(chan error, 1)
	go func() {
		time.Sleep(stopAfter)
		restarted <- d(j, trouble)
	}()
	for time.Since(stallStart) < stallTime {
		next := time.Now().Add(time.Second / openings)
		go j.longFlow(local, limit)
		time.Sleep(time.Until(next))
	}
	for _, h := range stalled {
		h.stall.Unlock()
	}
	w.rec.say("round %d: the hosts go on", number+1)
	return <-restarted
}

// restartSeed stops the only seed that is not stale as planned and starts it again.
func (j *flowJudge) restartSeed(trouble bool) error {
	if !trouble {
		return nil
	}
	w := j.w
	seed := w.nodes[6] // the first node of the third zone
	w.rec.say("%s is stopped as planned (SIGTERM)", seed.name)
	seed.signal(syscall.SIGTERM)
	for deadline := time.Now().Add(6 * time.Second); seed.alive(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s did not end within grace_s", seed.name)
		}
	}
	time.Sleep(300 * time.Millisecond)
	if err := seed.start(w.words); err != nil {
		return err
	}
	j.started([]*node{seed})
	return nil
}

// killAll kills all balancers at once and starts them again.
func (j *flowJudge) killAll(trouble bool) error {
	if !trouble {
		return nil
	}
	w := j.w
	w.rec.say("all balancers are killed")
	for _, n := range w.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range w.nodes {
		n.kill()
	}
	time.Sleep(downTime)
	for _, n := range w.nodes {
		if err := n.start(w.words); err != nil {
			return err
		}
	}
	j.started(w.nodes)
	return nil
}

// started records that balancers were started.
func (j *flowJudge) started(nodes []*node) {
	j.w.mutex.Lock()
	defer j.w.mutex.Unlock()
	for _, n := range nodes {
		j.startedAt[n] = time.Now()
		j.w.rec.say("%s is started again", n.name)
	}
}

// flowJudge counts what happened to long flows.
type flowJudge struct {
	w         *world
	stallEnd  time.Time           // of the last stall
	startedAt map[*node]time.Time // the last start of each balancer that was restarted

	opened, served, byOther, inTouch, bySystem, excused int
}

// longFlow opens a flow and sends requests on it, with pauses, until end.
func (j *flowJudge) longFlow(c *client, limit time.Time) {
	flow, outcome := c.open(end{routeAddr, confirmPort})
	if outcome != "open" {
		return
	}
	j.count(&j.opened)
	for number := 0; time.Now().Before(limit); number++ {
		id := fmt.Sprintf("%s-%d-%d", c.addr, flow.key.client.port, number)
		switch flow.request(id, 5*time.Second) {
		case "served":
			j.count(&j.served)
		case "reset":
			j.judgeReset(flow)
			return
		default:
			return
		}
		select {
		case <-flow.reset:
			j.judgeReset(flow)
			return
		case <-time.After(minPause + rand.N(maxPause-minPause)):
		}
	}
	flow.close()
}

func (j *flowJudge) count(counter *int) {
	j.w.mutex.Lock()
	defer j.w.mutex.Unlock()
	*counter++
}

// judgeReset judges a reset that a client received on a flow. A flow counts as open only if its
// host has the end of the handshake.
func (j *flowJudge) judgeReset(flow *clientFlow) {
	flow.mutex.Lock()
	by := flow.resetBy
	flow.mutex.Unlock()
	j.w.mutex.Lock()
	defer j.w.mutex.Unlock()
	home, sent := j.w.openAt[flow.key], j.w.resets[flow.key]
	switch {
	case home == nil:
	case by == "system":
		j.bySystem++
		j.w.rec.log("FLOW: %s, open at host %s, is reset by the system", flowName(flow.key), home.id)
	case sent.host == nil || sent.host == home:
	case time.Since(j.stallEnd) < contactTime:
		j.excused++
	default:
		j.byOther++
		via := j.w.nodeAt(sent.via)
		since := time.Since(j.startedAt[via])
		if since >= contactTime {
			j.inTouch++
		}
		j.w.rec.log("FLOW: %s, open at host %s, is reset by host %s, to which %s sent a packet of it, %.3f s after that host had gone on and %.3f s after the last start of %s", flowName(flow.key), home.id, sent.host.id, via.name, time.Since(j.stallEnd).Seconds(), min(since.Seconds(), 9999), via.name)
	}
}

// shortFlows opens flows with one request each until end.
func (w *world) shortFlows(c *client, limit time.Time) {
	for time.Now().Before(limit) {
		for _, port := range []uint16{confirmPort, confirmPort, confirmPort, sheetPort} {
			w.try(c, end{routeAddr, port}, func(*clientFlow, string, string) {})
			time.Sleep(20 * time.Millisecond)
		}
	}
}
