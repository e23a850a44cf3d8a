package callersim

import (
	"encoding/json"
	"net/http"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"robinpulley.example/robinpulley/internal/lab/wire"
)

// Cause says how a caller lost a flow or a request.
type Cause string

// The causes.
const (
	CauseReset      Cause = "reset"        // reset by a host that does not know the flow
	CauseStall      Cause = "stall"        // open, and nothing came for the stall limit
	CauseMoved      Cause = "moved"        // answered by another host (UDP)
	CauseMayHaveRun Cause = "may-have-run" // refused after it was open
	CauseUnopened   Cause = "unopened"     // never opened
)

// Failure is one flow or request that was lost.
type Failure struct {
	ID         string    `json:"id"`
	Kind       wire.Kind `json:"kind"`
	Local      string    `json:"local"`
	Host       string    `json:"host,omitempty"` // of the last answer
	Cause      Cause     `json:"cause"`
	UnixMillis int64     `json:"unix_ms"`
}

// Quantiles of a latency, in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

// Report is what the caller has seen since its start.
type Report struct {
	Service  string `json:"service"`
	Started  int    `json:"started"`  // requests, feeds included
	Opened   int    `json:"opened"`   // flows
	Answered int    `json:"answered"` // requests whose whole right answer came
	Open     int    `json:"open"`     // flows open now
	Feeds    int    `json:"feeds"`    // of those, feeds with at least one push
	UDPFlows int    `json:"udp_flows"`
	Pushes   int    `json:"pushes"`
	Retried  int    `json:"retried"` // tries after a refusal as not run

	// Broken flows were open; Unanswered requests never opened.
	Broken     []Failure `json:"broken,omitempty"`
	Unanswered []Failure `json:"unanswered,omitempty"`
	// NotRun and MayHaveRun list the refused openings by local address; NotRunIDs
	// the requests that a host refused as not run.
	NotRun     []string `json:"not_run,omitempty"`
	MayHaveRun []string `json:"may_have_run,omitempty"`
	NotRunIDs  []string `json:"not_run_ids,omitempty"`
	// FalseNotRun lists openings refused as not run that were open already.
	FalseNotRun  []string `json:"false_not_run,omitempty"`
	WrongService []string `json:"wrong_service,omitempty"` // answers of another service
	Mixed        []string `json:"mixed,omitempty"`         // answers to another request
	Truncated    []string `json:"truncated,omitempty"`     // uploads that did not land whole

	Opening Quantiles `json:"opening"`
	Answer  Quantiles `json:"answer"`
}

// latencies collects one latency in microseconds, up to a minute.
func newLatencies() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: histogram.TotalCount(),
		P50:   histogram.ValueAtQuantile(50),
		P99:   histogram.ValueAtQuantile(99),
		Max:   histogram.Max(),
	}
}

// Report gives a copy of what the caller has seen.
func (caller *Caller) Report() Report {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	report := caller.report
	report.Broken = append([]Failure(nil), report.Broken...)
	report.Unanswered = append([]Failure(nil), report.Unanswered...)
	report.Open = len(caller.calls)
	for _, open := range caller.calls {
		switch {
		case open.udp && open.host != "":
			report.UDPFlows++
		case open.kind == wire.KindFeed && open.host != "":
			report.Feeds++
		}
	}
	report.Opening = quantiles(caller.opening)
	report.Answer = quantiles(caller.answer)
	return report
}

// Handler serves GET /report and POST /stop, which opens nothing more and
// closes every flow.
func (caller *Caller) Handler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /report", func(response http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(response).Encode(caller.Report())
	})
	routes.HandleFunc("POST /stop", func(http.ResponseWriter, *http.Request) { caller.Stop(time.Now()) })
	return routes
}
