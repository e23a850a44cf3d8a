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

// loadReport requests a node's load report and checks that it is valid.
func (testbed *testbed) loadReport(index int) loadreport.Report {
	var report loadreport.Report
	status, body := testbed.get(index, "/load")
	is := is.New(testbed.t)
	is.Equal(status, http.StatusOK)
	is.NoErr(json.Unmarshal([]byte(body), &report))
	is.NoErr(report.Validate())
	return report
}

// TestLoadReportCoversCapacityAndDemand checks that a report always contains the capacities, and
// the clients' demand only while it is near the capacity of the back ends.
func TestLoadReportCoversCapacityAndDemand(t *testing.T) {
	is := is.New(t)
	testbed := newTestbed(t, 2)
	report := testbed.loadReport(0)
	is.Equal(len(report.Services), 2)
	web := report.Services[1]
	is.Equal(string(web.Service), "web")
	is.Equal(web.LoadKnown, false)
	is.Equal(len(web.Zones), 1)
	is.Equal(web.Zones[0].Capacity, 8.0) // four hosts of two slots
	is.True(web.Zones[0].Weight > 0.9)
	is.True(testbed.metricsContain(0, `robinpulley_home_ratio{service="web"}`))
	is.True(!testbed.metricsContain(0, "robinpulley_fleet_asked_slots"))

	for _, host := range testbed.hosts {
		host.SetWork(20 * time.Millisecond) // 400 requests a second on eight slots
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, flow := range testbed.openFlows(webFrontend, 30) {
		clients.Go(func() { sendRequests(flow.Flow, stop) })
	}
	testbed.waitUntil("both nodes have the fleet's load", func() bool {
		return testbed.metricsContain(0, "robinpulley_fleet_asked_slots{") && testbed.metricsContain(1, "robinpulley_fleet_asked_slots{")
	})
	testbed.waitUntil("a node reports a demand above zero", func() bool {
		return slices.ContainsFunc(loadreport.Rows([]loadreport.Report{testbed.loadReport(0), testbed.loadReport(1)}), func(row loadreport.Row) bool {
			return row.Service == "web" && row.LoadKnown && row.Demand > 0
		})
	})
	close(stop)
	clients.Wait()
	testbed.waitUntil("the load metrics are no longer exported", func() bool { return !testbed.metricsContain(0, "robinpulley_fleet_asked_slots{") })
}

// sendRequests sends requests on a flow, one after the other, until stop is closed. Their IDs start
// above all IDs of the testbed, which does not count them.
func sendRequests(flow *platformsim.Flow, stop <-chan struct{}) {
	for id := uint64(1 << 40); ; id++ {
		select {
		case <-stop:
			return
		default:
			_, _ = flow.Request(id) // other tests check the results of requests
		}
	}
}
