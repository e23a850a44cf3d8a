package soak

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// calm is a time in which nobody crowds: before the first crowd, or from Bounds.Settle
// after one has gone until the next one comes.
type calm struct {
	since    time.Time
	openings int
	refused  []refusal
}

// refusal is an opening that was refused though its route had to be in force.
type refusal struct {
	at     time.Time
	node   netip.AddrPort
	flow   string // as logs name it
	wanted []string
}

// A caller tries three times at once. Where one in ten openings is refused for load, by
// chance, one in a thousand callers is lost; with fewer openings than leastCalm nothing
// can be said of that.
const (
	mostCalmRefused = 0.1
	leastCalm       = 20
)

// noteCalm counts an opening at a time when nobody crowds.
func (c *Checker) noteCalm(opening *Opening, refused bool) {
	if c.calm == nil {
		c.calm = &calm{since: opening.SentAt}
		c.calms = append(c.calms, c.calm)
	}
	c.calm.openings++
	if !c.crowdGone.IsZero() {
		c.checked.Settled++
	}
	if refused {
		c.calm.refused = append(c.calm.refused, refusal{
			at: opening.SentAt, node: opening.Node, wanted: c.allowed(opening.SentAt, opening.Front),
			flow: fmt.Sprintf("%s>%s", opening.Caller, opening.Front),
		})
	}
}

// reasonOverload is what nodes log of openings that they refuse for load.
const reasonOverload = "overload"

// Explain judges the refusals while nobody crowded, by the reasons that nodes have logged:
// for load, no more than a few; for any other reason, none. reason gives that of a flow.
func (c *Checker) Explain(reason func(node netip.AddrPort, flow string) string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, window := range c.calms {
		forLoad := 0
		for _, refused := range window.refused {
			why := reason(refused.node, refused.flow)
			if why == reasonOverload {
				forLoad++
				continue
			}
			c.checked.Routes++
			c.report(refused.at, RuleChange, "%s refused %s, reason %q, want one of %q", refused.node, refused.flow, why, slices.Compact(refused.wanted))
		}
		c.checked.Chance += forLoad
		if window.openings >= leastCalm && float64(forLoad) > mostCalmRefused*float64(window.openings) {
			c.report(window.since, RuleCrowd, "%d of %d openings were refused for load while nobody crowded", forLoad, window.openings)
		}
	}
	c.calms, c.calm = nil, nil
}
