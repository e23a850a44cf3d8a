package clientsim

import (
	"encoding/json"
	"net/http"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"robinpulley.example/robinpulley/internal/lab/wire"
)

// Cause is the reason why a flow or a request failed.
type Cause string

// The causes of failures.
const (
	CauseReset      Cause = "reset"        // reset by a host, usually because it does not have the flow
	CauseStall      Cause = "stall"        // open, but without progress for the stall limit
	CauseMoved      Cause = "moved"        // answered by another host (UDP)
	CauseMayHaveRun Cause = "may-have-run" // refused by a balancer, although the request may have run
	CauseUnopened   Cause = "unopened"     // not opened within the limit
)

// Failure is one flow or request that failed.
type Failure struct {
	ID         string    `json:"id"`
	Kind       wire.Kind `json:"kind"`
	Local      string    `json:"local"`
	Host       string    `json:"host,omitempty"` // host that sent the last answer
	Cause      Cause     `json:"cause"`
	UnixMillis int64     `json:"unix_ms"`
}

// Quantiles holds quantiles of a latency, in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

// Report holds the client's counters and failures since its start.
type Report struct {
	Service  string `json:"service"`
	Started  int    `json:"started"`  // requests, feeds included
	Opened   int    `json:"opened"`   // flows
	Answered int    `json:"answered"` // requests with a complete and correct answer
	Open     int    `json:"open"`     // flows that exist now, including flows being opened or closed
	Feeds    int    `json:"feeds"`    // feeds among them with at least one push
	UDPFlows int    `json:"udp_flows"`
	Pushes   int    `json:"pushes"`
	Retried  int    `json:"retried"` // attempts after a refusal as not run

	// Broken lists flows that failed after they were open, Unanswered those that failed before.
	Broken     []Failure `json:"broken,omitempty"`
	Unanswered []Failure `json:"unanswered,omitempty"`
	// NotRun and MayHaveRun list the local addresses of flows that a balancer refused, by verdict.
	// NotRunIDs lists the attempt ids of requests that a host refused as not run.
	NotRun     []string `json:"not_run,omitempty"`
	MayHaveRun []string `json:"may_have_run,omitempty"`
	NotRunIDs  []string `json:"not_run_ids,omitempty"`
	// FalseNotRun lists flows that a balancer refused as not run although they were open already.
	FalseNotRun  []string `json:"false_not_run,omitempty"`
	WrongService []string `json:"wrong_service,omitempty"` // requests answered by another service
	Mixed        []string `json:"mixed,omitempty"`         // requests with a wrong or undecodable answer
	Truncated    []string `json:"truncated,omitempty"`     // requests that the host did not receive completely

	Opening Quantiles `json:"opening"`
	Answer  Quantiles `json:"answer"`
}

// newLatencies returns a histogram of latencies from one microsecond to one minute.
func newLatencies() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: histogram.TotalCount(),
		P50:   histogram.ValueAtQuantile(50),
		P99:   histogram.ValueAtQuantile(99),
		Max:   histogram.Max(),
	}
}

// Report returns a copy of the client's report.
func (client *Client) Report() Report {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	report := client.report
	report.Broken = append([]Failure(nil), report.Broken...)
	report.Unanswered = append([]Failure(nil), report.Unanswered...)
	report.Open = len(client.attempts)
	for _, attempt := range client.attempts {
		switch {
		case attempt.udp && attempt.host != "":
			report.UDPFlows++
		case attempt.kind == wire.KindFeed && attempt.host != "":
			report.Feeds++
		}
	}
	report.Opening = quantiles(client.openingLatencies)
	report.Answer = quantiles(client.answerLatencies)
	return report
}

// Handler returns a handler for GET /report and POST /stop, which calls Stop.
func (client *Client) Handler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /report", func(response http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(response).Encode(client.Report())
	})
	routes.HandleFunc("POST /stop", func(http.ResponseWriter, *http.Request) { client.Stop(time.Now()) })
	return routes
}
