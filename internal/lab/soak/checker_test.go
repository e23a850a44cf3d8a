package soak_test

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lab/platformsim"
	"robinpulley.example/robinpulley/internal/lab/soak"
)

var (
	front  = netip.MustParseAddrPort("198.18.0.1:443")
	node   = netip.MustParseAddrPort("127.0.1.1:9000")
	caller = netip.MustParseAddrPort("127.0.2.1:1025")
)

// bounds are long over for what happened an hour ago.
var bounds = soak.Bounds{Change: time.Minute, Contact: time.Minute, ColdOpenings: 2, Settle: time.Second}

var anHourAgo = time.Now().Add(-time.Hour)

func newChecker() *soak.Checker {
	c := soak.NewChecker(bounds)
	c.Changed(soak.Version{Number: 1, At: anHourAgo, Routes: map[netip.AddrPort]string{front: "web"}})
	return c
}

func host(id, service string) *platformsim.Host {
	return &platformsim.Host{ID: id, Service: service, Zone: "zone-0"}
}

func ran(at *platformsim.Host, request uint64) platformsim.HostEvent {
	return platformsim.HostEvent{Host: at, Kind: platformsim.HostRan, Node: node, Front: front, Caller: caller, Request: request}
}

// TestCheckerSeesEachRuleBroken: for each promise, what keeps it and what breaks it.
func TestCheckerSeesEachRuleBroken(t *testing.T) {
	opening := platformsim.HostEvent{Host: host("i-1", "web"), Kind: platformsim.HostOpening, Node: node, Front: front, Caller: caller}
	cold := host("i-3", "web")
	cold.StartCold(time.Hour)
	coldOpening := opening
	coldOpening.Host = cold
	cases := []struct {
		name   string
		happen func(c *soak.Checker)
		rules  []soak.Rule
	}{
		{"a request that runs once", func(c *soak.Checker) {
			c.Sends(1, front)
			c.HostSaw(ran(host("i-1", "web"), 1))
		}, nil},
		{"a request that runs twice", func(c *soak.Checker) {
			c.Sends(1, front)
			c.HostSaw(ran(host("i-1", "web"), 1))
			c.HostSaw(ran(host("i-2", "web"), 1))
		}, []soak.Rule{soak.RuleOnce}},
		{"a request that nobody sent", func(c *soak.Checker) {
			c.HostSaw(ran(host("i-1", "web"), 1))
		}, []soak.Rule{soak.RuleOnce}},
		{"another service", func(c *soak.Checker) {
			c.Sends(1, front)
			c.HostSaw(ran(host("i-1", "docs"), 1))
		}, []soak.Rule{soak.RuleRoute}},
		{"an opening at an active host", func(c *soak.Checker) { c.HostSaw(opening) }, nil},
		{"an opening at a host that began to drain", func(c *soak.Checker) {
			c.Draining(time.Now(), "i-1")
			c.HostSaw(opening)
		}, nil},
		{"an opening at a host that has drained for long", func(c *soak.Checker) {
			c.Draining(anHourAgo, "i-1")
			c.HostSaw(opening)
		}, []soak.Rule{soak.RuleDrain}},
		{"an opening in a zone that has been evacuated for long", func(c *soak.Checker) {
			c.Evacuated(anHourAgo, "zone-0")
			c.HostSaw(opening)
		}, []soak.Rule{soak.RuleZone}},
		{"an opening in another zone", func(c *soak.Checker) {
			c.Evacuated(anHourAgo, "zone-1")
			c.HostSaw(opening)
		}, nil},
		{"an opening in a zone that was evacuated a moment ago", func(c *soak.Checker) {
			c.Evacuated(time.Now(), "zone-0")
			c.HostSaw(opening)
		}, nil},
		{"an opening in a zone that was restored", func(c *soak.Checker) {
			c.Evacuated(anHourAgo, "zone-0")
			c.Restored("zone-0")
			c.HostSaw(opening)
		}, nil},
		{"an opening in an evacuated zone, by a node that is disturbed", func(c *soak.Checker) {
			c.Evacuated(anHourAgo, "zone-0")
			c.Disturb(node)
			c.HostSaw(opening)
		}, nil},
		{"as many openings at a cold host as it bears", func(c *soak.Checker) {
			c.HostSaw(coldOpening)
			c.HostSaw(coldOpening)
		}, nil},
		{"one more, by a node that is disturbed", func(c *soak.Checker) {
			c.Disturb(node)
			for range 3 {
				c.HostSaw(coldOpening)
			}
		}, []soak.Rule{soak.RuleCold}},
		{"many openings at a warm host", func(c *soak.Checker) {
			for range 9 {
				c.HostSaw(opening)
			}
		}, nil},
		{"the same from a node that is disturbed", func(c *soak.Checker) {
			c.Draining(anHourAgo, "i-1")
			c.Disturb(node)
			c.HostSaw(opening)
		}, nil},
		{"the same from a node that was disturbed a moment ago", func(c *soak.Checker) {
			c.Draining(anHourAgo, "i-1")
			c.Disturb(node)()
			c.HostSaw(opening)
		}, nil},
		{"a flow whose host is gone", func(c *soak.Checker) {
			c.Gone("i-1")
			c.FlowEnded(time.Now(), "i-1", node, platformsim.ErrNoAnswer)
		}, nil},
		{"a flow whose host lives", func(c *soak.Checker) {
			c.FlowEnded(time.Now(), "i-1", node, platformsim.ErrNoAnswer)
		}, []soak.Rule{soak.RuleFlow}},
		{"silence by a node that is disturbed", func(c *soak.Checker) {
			c.Disturb(node)
			c.FlowEnded(time.Now(), "i-1", node, platformsim.ErrNoAnswer)
		}, nil},
		{"a reset by a node that is disturbed", func(c *soak.Checker) {
			c.Disturb(node)
			c.FlowEnded(time.Now(), "i-1", node, platformsim.ErrResetByNode)
		}, []soak.Rule{soak.RuleFlow}},
		{"an opening by the route in force", func(c *soak.Checker) {
			c.Opened(soak.Opening{Front: front, SentAt: time.Now(), Node: node, Service: "web"})
		}, nil},
		{"an opening by another service", func(c *soak.Checker) {
			c.Opened(soak.Opening{Front: front, SentAt: time.Now(), Node: node, Service: "docs"})
		}, []soak.Rule{soak.RuleChange}},
		{"a refusal though there is a route", func(c *soak.Checker) {
			c.Opened(soak.Opening{Front: front, SentAt: time.Now(), Node: node})
		}, []soak.Rule{soak.RuleChange}},
		{"an old route soon after a change", func(c *soak.Checker) {
			c.Changed(soak.Version{Number: 2, At: time.Now(), Routes: map[netip.AddrPort]string{}})
			c.Opened(soak.Opening{Front: front, SentAt: time.Now(), Node: node, Service: "web"})
		}, nil},
		{"an old route long after a change", func(c *soak.Checker) {
			c.Changed(soak.Version{Number: 2, At: anHourAgo.Add(time.Minute), Routes: map[netip.AddrPort]string{}})
			c.Opened(soak.Opening{Front: front, SentAt: time.Now(), Node: node, Service: "web"})
		}, []soak.Rule{soak.RuleChange}},
		{"a copy of an opening, which may have met several nodes", func(c *soak.Checker) {
			c.Opened(soak.Opening{Front: front, SentAt: time.Now(), Node: node, Copies: 1, Service: "docs"})
		}, nil},
		{"a refusal while callers crowd", func(c *soak.Checker) {
			c.Crowd()
			c.Opened(soak.Opening{Front: front, SentAt: time.Now(), Node: node})
		}, nil},
		{"a refusal soon after callers crowded", func(c *soak.Checker) {
			c.Crowd()()
			c.Opened(soak.Opening{Front: front, SentAt: time.Now(), Node: node})
		}, nil},
		{"few refusals for load after a crowd has gone", func(c *soak.Checker) {
			c.Crowd()()
			openAfterCrowd(c, 38, 2)
		}, nil},
		{"many refusals for load after a crowd has gone", func(c *soak.Checker) {
			c.Crowd()()
			openAfterCrowd(c, 38, 2)
			c.Crowd()()
			openAfterCrowd(c, 30, 4)
		}, []soak.Rule{soak.RuleCrowd}},
		{"many refusals of few openings after a crowd has gone", func(c *soak.Checker) {
			c.Crowd()()
			openAfterCrowd(c, 10, 4)
		}, nil},
		{"a wrong service while callers crowd", func(c *soak.Checker) {
			c.Crowd()
			c.Opened(soak.Opening{Front: front, SentAt: time.Now(), Node: node, Service: "docs"})
		}, []soak.Rule{soak.RuleChange}},
		{"a refusal without any crowd", func(c *soak.Checker) {
			c.Opened(soak.Opening{Front: front, SentAt: time.Now(), Node: node})
		}, []soak.Rule{soak.RuleChange}},
		{"a refused opening that had reached a host", func(c *soak.Checker) {
			c.Crowd()
			sent := time.Now()
			c.HostSaw(opening)
			c.Opened(soak.Opening{Front: front, SentAt: sent, Node: node, Caller: caller, ByNode: true})
		}, []soak.Rule{soak.RuleNotRun}},
		{"a refused opening that reaches a host later", func(c *soak.Checker) {
			c.Crowd()
			c.Opened(soak.Opening{Front: front, SentAt: time.Now(), Node: node, Caller: caller, ByNode: true})
			c.HostSaw(opening)
		}, []soak.Rule{soak.RuleNotRun}},
		{"a refused opening of a caller that opened another one before", func(c *soak.Checker) {
			c.Crowd()
			c.HostSaw(opening)
			c.Opened(soak.Opening{Front: front, SentAt: time.Now().Add(time.Second), Node: node, Caller: caller, ByNode: true})
		}, nil},
		{"a refusal of one copy, of which another may have reached a host", func(c *soak.Checker) {
			c.Crowd()
			c.HostSaw(opening)
			c.Opened(soak.Opening{Front: front, SentAt: time.Now(), Node: node, Caller: caller, ByNode: true, Copies: 1})
		}, nil},
		{"what others report", func(c *soak.Checker) {
			c.Report(time.Now(), soak.RuleMixed, "%v", errors.New("mixed"))
		}, []soak.Rule{soak.RuleMixed}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newChecker()
			test.happen(c)
			c.Explain(func(_ netip.AddrPort, flow string) string {
				if flow == overloaded.String()+">"+front.String() {
					return "overload"
				}
				return "unknown-service"
			})
			var rules []soak.Rule
			for _, violation := range c.Violations() {
				rules = append(rules, violation.Rule)
			}
			is.Equal(rules, test.rules)
		})
	}
}

// overloaded is a caller whose openings are refused for load.
var overloaded = netip.MustParseAddrPort("127.0.2.1:1026")

// openAfterCrowd has openings answered and refused for load after crowds must be over.
func openAfterCrowd(c *soak.Checker, answered, refused int) {
	opening := soak.Opening{Front: front, SentAt: time.Now().Add(2 * bounds.Settle), Node: node, Service: "web"}
	for range answered {
		c.Opened(opening)
	}
	opening.Service, opening.Caller = "", overloaded
	for range refused {
		c.Opened(opening)
	}
}

// TestUnansweredOpeningsHaveACause, or break a promise.
func TestUnansweredOpeningsHaveACause(t *testing.T) {
	other := netip.MustParseAddrPort("127.0.1.2:9000")
	cases := map[soak.Cause]func(*soak.Checker){
		soak.CauseNode:  func(c *soak.Checker) { c.Disturb(node, other) },
		soak.CauseOther: func(c *soak.Checker) { c.Disturb(other)() },
		soak.CauseHost:  func(c *soak.Checker) { c.Gone("i-1") },
		soak.CauseNone:  func(*soak.Checker) {},
	}
	for cause, prepare := range cases {
		t.Run(string(cause), func(t *testing.T) {
			is := is.New(t)
			c := newChecker()
			prepare(c)
			c.NotOpened(time.Now(), node, front)
			is.Equal(c.Unopened(), map[soak.Cause]int{cause: 1})
			is.Equal(len(c.Violations()) > 0, cause == soak.CauseNone)
		})
	}
}

func TestRunThatCheckedNothingSaysSo(t *testing.T) {
	is := is.New(t)
	is.Equal((&soak.Report{}).Unchecked(), []soak.Rule{soak.RuleChange, soak.RuleDrain})
	is.Equal((&soak.Report{Checked: soak.Checked{Routes: 1, Drains: 1}}).Unchecked(), []soak.Rule(nil))
	crowded := soak.Report{Checked: soak.Checked{Routes: 1, Drains: 1}, Steps: []soak.Step{{Fault: "evacuate"}, {Fault: "crowd"}, {Fault: "cold_most"}}}
	is.Equal(crowded.Unchecked(), []soak.Rule{soak.RuleCrowd})
	is.Equal(crowded.Unreached(), []soak.Rule{soak.RuleZone, soak.RuleCold})
	crowded.Checked = soak.Checked{Routes: 1, Drains: 1, Settled: 1, Evacuations: 1, Cold: 1}
	is.Equal(crowded.Unchecked(), []soak.Rule(nil))
	is.Equal(crowded.Unreached(), []soak.Rule(nil))
}
