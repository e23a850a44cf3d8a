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
	frontend = netip.MustParseAddrPort("198.18.0.1:443")
	node     = netip.MustParseAddrPort("127.0.1.1:9000")
	client   = netip.MustParseAddrPort("127.0.2.1:1025")
)

// bounds holds limits that have expired for events of an hour ago.
var bounds = soak.Bounds{ChangeLimit: time.Minute, UndisturbedTime: time.Minute, ColdOpeningsPerSecond: 2, SurgeSettleTime: time.Second}

var anHourAgo = time.Now().Add(-time.Hour)

func newChecker() *soak.Checker {
	c := soak.NewChecker(bounds)
	c.RecordVersion(soak.Version{Number: 1, At: anHourAgo, Routes: map[netip.AddrPort]string{frontend: "web"}})
	return c
}

func host(id, service string) *platformsim.Host {
	return &platformsim.Host{ID: id, Service: service, Zone: "zone-0"}
}

func requestRun(at *platformsim.Host, request uint64) platformsim.HostEvent {
	return platformsim.HostEvent{Host: at, Kind: platformsim.HostRequestRan, Node: node, Frontend: frontend, Client: client, Request: request}
}

// TestCheckerDetectsViolationOfEachRule covers, for each guarantee, events that satisfy it and
// events that violate it.
func TestCheckerDetectsViolationOfEachRule(t *testing.T) {
	hostOpening := platformsim.HostEvent{Host: host("i-1", "web"), Kind: platformsim.HostOpening, Node: node, Frontend: frontend, Client: client}
	cold := host("i-3", "web")
	cold.StartCold(time.Hour)
	coldOpening := hostOpening
	coldOpening.Host = cold
	cases := []struct {
		name   string
		record func(c *soak.Checker)
		rules  []soak.Rule
	}{
		{"a request that runs once", func(c *soak.Checker) {
			c.RecordRequest(1, frontend)
			c.RecordHostEvent(requestRun(host("i-1", "web"), 1))
		}, nil},
		{"a request that runs twice", func(c *soak.Checker) {
			c.RecordRequest(1, frontend)
			c.RecordHostEvent(requestRun(host("i-1", "web"), 1))
			c.RecordHostEvent(requestRun(host("i-2", "web"), 1))
		}, []soak.Rule{soak.RuleRunOnce}},
		{"a request that no client sent", func(c *soak.Checker) {
			c.RecordHostEvent(requestRun(host("i-1", "web"), 1))
		}, []soak.Rule{soak.RuleRunOnce}},
		{"a request at the wrong service", func(c *soak.Checker) {
			c.RecordRequest(1, frontend)
			c.RecordHostEvent(requestRun(host("i-1", "docs"), 1))
		}, []soak.Rule{soak.RuleRoute}},
		{"an opening at an active host", func(c *soak.Checker) { c.RecordHostEvent(hostOpening) }, nil},
		{"an opening at a host that has just begun to drain", func(c *soak.Checker) {
			c.RecordDraining(time.Now(), "i-1")
			c.RecordHostEvent(hostOpening)
		}, nil},
		{"an opening at a host that has drained for long", func(c *soak.Checker) {
			c.RecordDraining(anHourAgo, "i-1")
			c.RecordHostEvent(hostOpening)
		}, []soak.Rule{soak.RuleDrain}},
		{"an opening in a zone that has been evacuated for long", func(c *soak.Checker) {
			c.RecordEvacuation(anHourAgo, "zone-0")
			c.RecordHostEvent(hostOpening)
		}, []soak.Rule{soak.RuleZone}},
		{"an opening outside of the evacuated zone", func(c *soak.Checker) {
			c.RecordEvacuation(anHourAgo, "zone-1")
			c.RecordHostEvent(hostOpening)
		}, nil},
		{"an opening in a zone that has just been evacuated", func(c *soak.Checker) {
			c.RecordEvacuation(time.Now(), "zone-0")
			c.RecordHostEvent(hostOpening)
		}, nil},
		{"an opening in a zone that was restored", func(c *soak.Checker) {
			c.RecordEvacuation(anHourAgo, "zone-0")
			c.RecordRestoration("zone-0")
			c.RecordHostEvent(hostOpening)
		}, nil},
		{"an opening in an evacuated zone through a disturbed node", func(c *soak.Checker) {
			c.RecordEvacuation(anHourAgo, "zone-0")
			c.BeginDisturbance(node)
			c.RecordHostEvent(hostOpening)
		}, nil},
		{"the maximum number of openings at a host in its cold start", func(c *soak.Checker) {
			c.RecordHostEvent(coldOpening)
			c.RecordHostEvent(coldOpening)
		}, nil},
		{"one opening too many at a host in its cold start, through a disturbed node", func(c *soak.Checker) {
			c.BeginDisturbance(node)
			for range 3 {
				c.RecordHostEvent(coldOpening)
			}
		}, []soak.Rule{soak.RuleCold}},
		{"many openings at a host after its cold start", func(c *soak.Checker) {
			for range 9 {
				c.RecordHostEvent(hostOpening)
			}
		}, nil},
		{"an opening at a draining host through a disturbed node", func(c *soak.Checker) {
			c.RecordDraining(anHourAgo, "i-1")
			c.BeginDisturbance(node)
			c.RecordHostEvent(hostOpening)
		}, nil},
		{"an opening at a draining host through a node that was disturbed recently", func(c *soak.Checker) {
			c.RecordDraining(anHourAgo, "i-1")
			c.BeginDisturbance(node)()
			c.RecordHostEvent(hostOpening)
		}, nil},
		{"a failed flow whose host has stopped", func(c *soak.Checker) {
			c.RecordHostStop("i-1")
			c.RecordFlowFailure(time.Now(), "i-1", node, platformsim.ErrNoAnswer)
		}, nil},
		{"a failed flow whose host runs", func(c *soak.Checker) {
			c.RecordFlowFailure(time.Now(), "i-1", node, platformsim.ErrNoAnswer)
		}, []soak.Rule{soak.RuleFlow}},
		{"a missing answer through a disturbed node", func(c *soak.Checker) {
			c.BeginDisturbance(node)
			c.RecordFlowFailure(time.Now(), "i-1", node, platformsim.ErrNoAnswer)
		}, nil},
		{"a reset by a disturbed node", func(c *soak.Checker) {
			c.BeginDisturbance(node)
			c.RecordFlowFailure(time.Now(), "i-1", node, platformsim.ErrResetByNode)
		}, []soak.Rule{soak.RuleFlow}},
		{"an opening at the service of the route in force", func(c *soak.Checker) {
			c.RecordOpening(soak.Opening{Frontend: frontend, SentAt: time.Now(), Node: node, Service: "web"})
		}, nil},
		{"an opening at another service", func(c *soak.Checker) {
			c.RecordOpening(soak.Opening{Frontend: frontend, SentAt: time.Now(), Node: node, Service: "docs"})
		}, []soak.Rule{soak.RuleChange}},
		{"a refusal although a route is in force", func(c *soak.Checker) {
			c.RecordOpening(soak.Opening{Frontend: frontend, SentAt: time.Now(), Node: node})
		}, []soak.Rule{soak.RuleChange}},
		{"an old route soon after a change", func(c *soak.Checker) {
			c.RecordVersion(soak.Version{Number: 2, At: time.Now(), Routes: map[netip.AddrPort]string{}})
			c.RecordOpening(soak.Opening{Frontend: frontend, SentAt: time.Now(), Node: node, Service: "web"})
		}, nil},
		{"an old route long after a change", func(c *soak.Checker) {
			c.RecordVersion(soak.Version{Number: 2, At: anHourAgo.Add(time.Minute), Routes: map[netip.AddrPort]string{}})
			c.RecordOpening(soak.Opening{Frontend: frontend, SentAt: time.Now(), Node: node, Service: "web"})
		}, []soak.Rule{soak.RuleChange}},
		{"an opening with several copies, which may have reached several nodes", func(c *soak.Checker) {
			c.RecordOpening(soak.Opening{Frontend: frontend, SentAt: time.Now(), Node: node, ExtraCopies: 1, Service: "docs"})
		}, nil},
		{"a refusal during a surge", func(c *soak.Checker) {
			c.BeginSurge()
			c.RecordOpening(soak.Opening{Frontend: frontend, SentAt: time.Now(), Node: node})
		}, nil},
		{"a refusal soon after a surge", func(c *soak.Checker) {
			c.BeginSurge()()
			c.RecordOpening(soak.Opening{Frontend: frontend, SentAt: time.Now(), Node: node})
		}, nil},
		{"few refusals for load after a surge", func(c *soak.Checker) {
			c.BeginSurge()()
			recordOpeningsAfterSurge(c, 38, 2)
		}, nil},
		{"many refusals for load after a surge", func(c *soak.Checker) {
			c.BeginSurge()()
			recordOpeningsAfterSurge(c, 38, 2)
			c.BeginSurge()()
			recordOpeningsAfterSurge(c, 30, 4)
		}, []soak.Rule{soak.RuleSurge}},
		{"many refusals of few openings after a surge", func(c *soak.Checker) {
			c.BeginSurge()()
			recordOpeningsAfterSurge(c, 10, 4)
		}, nil},
		{"a wrong service during a surge", func(c *soak.Checker) {
			c.BeginSurge()
			c.RecordOpening(soak.Opening{Frontend: frontend, SentAt: time.Now(), Node: node, Service: "docs"})
		}, []soak.Rule{soak.RuleChange}},
		{"a refusal for another reason than load in a quiet window", func(c *soak.Checker) {
			c.RecordOpening(soak.Opening{Frontend: frontend, SentAt: time.Now(), Node: node})
		}, []soak.Rule{soak.RuleChange}},
		{"a refused opening that had reached a host", func(c *soak.Checker) {
			c.BeginSurge()
			sent := time.Now()
			c.RecordHostEvent(hostOpening)
			c.RecordOpening(soak.Opening{Frontend: frontend, SentAt: sent, Node: node, Client: client, RefusedByNode: true})
		}, []soak.Rule{soak.RuleNotRun}},
		{"a refused opening that reaches a host later", func(c *soak.Checker) {
			c.BeginSurge()
			c.RecordOpening(soak.Opening{Frontend: frontend, SentAt: time.Now(), Node: node, Client: client, RefusedByNode: true})
			c.RecordHostEvent(hostOpening)
		}, []soak.Rule{soak.RuleNotRun}},
		{"a refused opening of a client that had opened another flow before", func(c *soak.Checker) {
			c.BeginSurge()
			c.RecordHostEvent(hostOpening)
			c.RecordOpening(soak.Opening{Frontend: frontend, SentAt: time.Now().Add(time.Second), Node: node, Client: client, RefusedByNode: true})
		}, nil},
		{"a refusal of an opening with two copies, of which one reached a host", func(c *soak.Checker) {
			c.BeginSurge()
			c.RecordHostEvent(hostOpening)
			c.RecordOpening(soak.Opening{Frontend: frontend, SentAt: time.Now(), Node: node, Client: client, RefusedByNode: true, ExtraCopies: 1})
		}, nil},
		{"a violation added by another package", func(c *soak.Checker) {
			c.AddViolation(time.Now(), soak.RuleMixedAnswers, "%v", errors.New("mixed"))
		}, []soak.Rule{soak.RuleMixedAnswers}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newChecker()
			test.record(c)
			c.ClassifyRefusals(func(_ netip.AddrPort, flow string) string {
				if flow == overloaded.String()+">"+frontend.String() {
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

// overloaded is a client whose openings are refused for load.
var overloaded = netip.MustParseAddrPort("127.0.2.1:1026")

// recordOpeningsAfterSurge records answered openings and openings refused for load, sent after the
// settling time of a surge.
func recordOpeningsAfterSurge(c *soak.Checker, answered, refused int) {
	opening := soak.Opening{Frontend: frontend, SentAt: time.Now().Add(2 * bounds.SurgeSettleTime), Node: node, Service: "web"}
	for range answered {
		c.RecordOpening(opening)
	}
	opening.Service, opening.Client = "", overloaded
	for range refused {
		c.RecordOpening(opening)
	}
}

// TestUnansweredOpeningCauses guards against openings that remain unanswered without any known
// cause: they must be violations.
func TestUnansweredOpeningCauses(t *testing.T) {
	other := netip.MustParseAddrPort("127.0.1.2:9000")
	cases := map[soak.Cause]func(*soak.Checker){
		soak.CauseNode:  func(c *soak.Checker) { c.BeginDisturbance(node, other) },
		soak.CauseOther: func(c *soak.Checker) { c.BeginDisturbance(other)() },
		soak.CauseHost:  func(c *soak.Checker) { c.RecordHostStop("i-1") },
		soak.CauseNone:  func(*soak.Checker) {},
	}
	for cause, prepare := range cases {
		t.Run(string(cause), func(t *testing.T) {
			is := is.New(t)
			c := newChecker()
			prepare(c)
			c.RecordUnanswered(time.Now(), node, frontend)
			is.Equal(c.Unanswered(), map[soak.Cause]int{cause: 1})
			is.Equal(len(c.Violations()) > 0, cause == soak.CauseNone)
		})
	}
}

func TestReportListsUnverifiedAndUnexercisedRules(t *testing.T) {
	is := is.New(t)
	is.Equal((&soak.Report{}).UnverifiedRules(), []soak.Rule{soak.RuleChange, soak.RuleDrain})
	is.Equal((&soak.Report{Checked: soak.Checked{Routes: 1, Drains: 1}}).UnverifiedRules(), []soak.Rule(nil))
	surgeReport := soak.Report{Checked: soak.Checked{Routes: 1, Drains: 1}, Steps: []soak.Step{{Fault: "evacuate"}, {Fault: "crowd"}, {Fault: "cold_most"}}}
	is.Equal(surgeReport.UnverifiedRules(), []soak.Rule{soak.RuleSurge})
	is.Equal(surgeReport.UnexercisedRules(), []soak.Rule{soak.RuleZone, soak.RuleCold})
	surgeReport.Checked = soak.Checked{Routes: 1, Drains: 1, AfterSurge: 1, Evacuations: 1, ColdOpenings: 1}
	is.Equal(surgeReport.UnverifiedRules(), []soak.Rule(nil))
	is.Equal(surgeReport.UnexercisedRules(), []soak.Rule(nil))
}
