package soak

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// quietWindow is a period in which the balancers have no reason to refuse openings for load. It
// lasts from the start of the run, or from Bounds.SurgeSettleTime after a surge has ended, until
// the next surge begins.
type quietWindow struct {
	since    time.Time
	openings int
	refused  []refusal
}

// refusal is an opening that was refused although its route had to be in force.
type refusal struct {
	sentAt          time.Time
	node            netip.AddrPort
	flow            string // in the form that the node writes to its log
	allowedServices []string
}

// Limits of random refusals for load in a quiet window. A client retries a refused opening
// immediately, up to three attempts in all. If each attempt is refused with a probability of 10 %,
// one client in a thousand fails. A window with fewer openings than minQuietOpenings is too small
// a sample to be checked.
const (
	maxQuietRefusedRatio = 0.1
	minQuietOpenings     = 20
)

// recordQuietOpening counts an opening in the current quiet window, which it starts if necessary,
// and keeps the opening for ClassifyRefusals if it was refused.
func (c *Checker) recordQuietOpening(opening *Opening, refused bool) {
	if c.currentQuietWindow == nil {
		c.currentQuietWindow = &quietWindow{since: opening.SentAt}
		c.quietWindows = append(c.quietWindows, c.currentQuietWindow)
	}
	c.currentQuietWindow.openings++
	if !c.lastSurgeEnd.IsZero() {
		c.checked.AfterSurge++
	}
	if refused {
		c.currentQuietWindow.refused = append(c.currentQuietWindow.refused, refusal{
			sentAt: opening.SentAt, node: opening.Node, allowedServices: c.allowedServices(opening.SentAt, opening.Frontend),
			flow: fmt.Sprintf("%s>%s", opening.Client, opening.Frontend),
		})
	}
}

// reasonOverload is the reason that nodes log when they refuse an opening for load.
const reasonOverload = "overload"

// ClassifyRefusals checks the refusals in quiet windows by the reasons that the nodes logged.
// A small share of refusals for load is allowed; a refusal for any other reason is a violation.
// The function reason returns the logged reason for the refusal of a flow by a node.
func (c *Checker) ClassifyRefusals(reason func(node netip.AddrPort, flow string) string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, window := range c.quietWindows {
		loadRefusals := 0
		for _, refused := range window.refused {
			logged := reason(refused.node, refused.flow)
			if logged == reasonOverload {
				loadRefusals++
				continue
			}
			c.checked.Routes++
			c.addViolation(refused.sentAt, RuleChange, "%s refused %s, reason %q, want one of %q", refused.node, refused.flow, logged, slices.Compact(refused.allowedServices))
		}
		c.checked.QuietLoadRefusals += loadRefusals
		if window.openings >= minQuietOpenings && float64(loadRefusals) > maxQuietRefusedRatio*float64(window.openings) {
			c.addViolation(window.since, RuleSurge, "%d of %d openings were refused for load outside of surges", loadRefusals, window.openings)
		}
	}
	c.quietWindows, c.currentQuietWindow = nil, nil
}
