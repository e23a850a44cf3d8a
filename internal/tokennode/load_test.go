package tokennode_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lab/platformsim"
	"robinpulley.example/robinpulley/internal/loadreport"
)

// report asks a node for its load.
func (site *site) report(index int) loadreport.Report {
	var report loadreport.Report
	status, body := site.get(index, "/load")
	is := is.New(site.t)
	is.Equal(status, http.StatusOK)
	is.NoErr(json.Unmarshal([]byte(body), &report))
	is.NoErr(report.Validate())
	return report
}

// TestNodesTellTheLoadThatTheySee: capacities always; what callers ask for once it is near
// what back ends can do, and no longer after that.
func TestNodesTellTheLoadThatTheySee(t *testing.T) {
	is := is.New(t)
	site := newSite(t, 2)
	report := site.report(0)
	is.Equal(len(report.Services), 2)
	web := report.Services[1]
	is.Equal(string(web.Service), "web")
	is.Equal(web.Known, false)
	is.Equal(len(web.Zones), 1)
	is.Equal(web.Zones[0].Capacity, 8.0) // four hosts of two slots
	is.True(web.Zones[0].Weight > 0.9)
	is.True(site.shows(0, `robinpulley_home_ratio{service="web"}`))
	is.True(!site.shows(0, "robinpulley_fleet_asked_slots"))

	for _, host := range site.hosts {
		host.SetWork(20 * time.Millisecond) // 400 requests a second on eight slots
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, flow := range site.open(webFront, 30) {
		callers.Go(func() { ask(flow.Flow, stop) })
	}
	site.until("both nodes know of the load", func() bool {
		return site.shows(0, "robinpulley_fleet_asked_slots{") && site.shows(1, "robinpulley_fleet_asked_slots{")
	})
	site.until("somebody asks for more than nothing", func() bool {
		return slices.ContainsFunc(loadreport.Rows([]loadreport.Report{site.report(0), site.report(1)}), func(row loadreport.Row) bool {
			return row.Service == "web" && row.Known && row.Demand > 0
		})
	})
	close(stop)
	callers.Wait()
	site.until("the load is over", func() bool { return !site.shows(0, "robinpulley_fleet_asked_slots{") })
}

// ask sends requests on a flow, one after the other, until told to stop. Their ids are of
// no use to the site's own count.
func ask(flow *platformsim.Flow, stop <-chan struct{}) {
	for id := uint64(1 << 40); ; id++ {
		select {
		case <-stop:
			return
		default:
			_, _ = flow.Request(id) // what comes of each is other tests' matter
		}
	}
}
