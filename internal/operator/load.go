package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/limitio"
	"robinpulley.example/robinpulley/internal/loadreport"
)

// ErrNoResponse means that a balancer did not respond or returned an invalid report.
var ErrNoResponse = errors.New("no response from a balancer")

// Limits for requests of load reports.
const (
	reportTimeout  = 3 * time.Second
	maxReportBytes = 8 << 20 // enough for 4,096 services in 12 zones with a few priorities
	reportPath     = "/load"
	// maxConcurrentRequests is the maximum number of concurrent requests.
	maxConcurrentRequests = 32
)

// Load is the load that balancers report.
type Load struct {
	Rows []loadreport.Row `json:"rows"`
	// Missing lists the balancers that sent no valid report, with the reason.
	Missing []MissingLoad `json:"missing,omitempty"`
}

// MissingLoad is a balancer that sent no valid report.
type MissingLoad struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// LoadFilter selects rows of the load by service and zone. An empty field selects all.
type LoadFilter struct {
	Service lb.ServiceName
	Zone    lb.Zone
}

// ReadLoad requests the load reports of the balancers at the given admin addresses, each of which
// is HOST:PORT or a base URL, and combines them into one table. If some balancers do not respond,
// it returns the table of the others together with ErrNoResponse.
func ReadLoad(ctx context.Context, addresses []string, filter LoadFilter) (*Load, error) {
	urls, err := reportURLs(addresses)
	if err != nil {
		return nil, err
	}
	reports := make([]*loadreport.Report, len(urls))
	failures := make([]error, len(urls))
	var requests sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentRequests)
	for index := range urls {
		requests.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			reports[index], failures[index] = readReport(ctx, urls[index])
		})
	}
	requests.Wait()
	load := &Load{}
	var received []loadreport.Report
	for index, report := range reports {
		if failures[index] != nil {
			load.Missing = append(load.Missing, MissingLoad{Address: addresses[index], Error: failures[index].Error()})
			continue
		}
		received = append(received, *report)
	}
	load.Rows = slices.DeleteFunc(loadreport.Rows(received), func(row loadreport.Row) bool {
		return filter.Service != "" && row.Service != filter.Service || filter.Zone != "" && row.Zone != filter.Zone
	})
	return load, load.checkComplete(len(addresses), filter)
}

// checkComplete returns an error if reports are missing or if no row matches the filter.
func (l *Load) checkComplete(requested int, filter LoadFilter) error {
	if len(l.Missing) > 0 {
		return errors.Wrapf(ErrNoResponse, "%d of %d balancers; the first is %s: %s", len(l.Missing), requested, l.Missing[0].Address, l.Missing[0].Error)
	}
	if len(l.Rows) == 0 && filter != (LoadFilter{}) {
		return errors.Wrapf(ErrNotFound, "service %q in zone %q (empty: any)", filter.Service, filter.Zone)
	}
	return nil
}

// reportURLs returns the URL of each balancer's load report.
func reportURLs(addresses []string) ([]string, error) {
	if len(addresses) == 0 {
		return nil, errors.Mark(errors.New("no admin address of a balancer is given"), ErrBadInput)
	}
	urls := make([]string, len(addresses))
	for index, address := range addresses {
		base := address
		if _, err := netip.ParseAddrPort(address); err == nil {
			base = "http://" + address
		}
		parsed, err := url.Parse(base)
		if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Hostname() == "" {
			return nil, errors.Mark(errors.Newf("admin address %q: want IP:PORT or a base URL, such as http://127.0.0.1:9600", address), ErrBadInput)
		}
		urls[index] = parsed.JoinPath(reportPath).String()
	}
	return urls, nil
}

// readReport requests the load report of one balancer.
func readReport(ctx context.Context, address string) (*loadreport.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build the request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "send the request")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %s: only balancers of this version in affinity token mode serve %s", response.Status, reportPath)
	}
	body, err := limitio.ReadAll(response.Body, maxReportBytes)
	if err != nil {
		return nil, errors.Wrap(err, "read the response")
	}
	report := &loadreport.Report{}
	if err := json.Unmarshal(body, report); err != nil {
		return nil, errors.Wrap(err, "decode the response")
	}
	return report, errors.Wrap(report.Validate(), "invalid response")
}
