package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/loadreport"
)

// ErrNoAnswer: a balancer did not answer, or not with what was asked for.
var ErrNoAnswer = errors.New("no answer of a balancer")

// Bounds of what is read of one balancer.
const (
	loadTimeout = 3 * time.Second
	loadBytes   = 8 << 20 // 4,096 services in 12 zones with a few priorities
	loadPath    = "/load"
	// loadAtOnce is how many balancers are asked at a time.
	loadAtOnce = 32
)

// Load is what balancers tell of load.
type Load struct {
	Rows []loadreport.Row `json:"rows"`
	// Missing are the balancers that did not answer, and why.
	Missing []MissingLoad `json:"missing,omitempty"`
}

// MissingLoad is a balancer that did not answer.
type MissingLoad struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// LoadFilter says what of the load is wanted; empty: all.
type LoadFilter struct {
	Service lb.ServiceName
	Zone    lb.Zone
}

// ReadLoad asks balancers at their admin addresses, HOST:PORT or a base URL each, and makes
// one table of what they tell. It gives the table also with ErrNoAnswer, when some have not
// answered.
func ReadLoad(ctx context.Context, addresses []string, filter LoadFilter) (*Load, error) {
	urls, err := loadURLs(addresses)
	if err != nil {
		return nil, err
	}
	reports := make([]*loadreport.Report, len(urls))
	failures := make([]error, len(urls))
	var asked sync.WaitGroup
	places := make(chan struct{}, loadAtOnce)
	for index := range urls {
		asked.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			reports[index], failures[index] = readReport(ctx, urls[index])
		})
	}
	asked.Wait()
	load := &Load{}
	var answered []loadreport.Report
	for index, report := range reports {
		if failures[index] != nil {
			load.Missing = append(load.Missing, MissingLoad{Address: addresses[index], Error: failures[index].Error()})
			continue
		}
		answered = append(answered, *report)
	}
	load.Rows = slices.DeleteFunc(loadreport.Rows(answered), func(row loadreport.Row) bool {
		return filter.Service != "" && row.Service != filter.Service || filter.Zone != "" && row.Zone != filter.Zone
	})
	return load, load.check(len(addresses), filter)
}

// check names what is not there.
func (l *Load) check(asked int, filter LoadFilter) error {
	if len(l.Missing) > 0 {
		return errors.Wrapf(ErrNoAnswer, "%d of %d balancers; the first is %s: %s", len(l.Missing), asked, l.Missing[0].Address, l.Missing[0].Error)
	}
	if len(l.Rows) == 0 && filter != (LoadFilter{}) {
		return errors.Wrapf(ErrNotFound, "service %q in zone %q (empty: any)", filter.Service, filter.Zone)
	}
	return nil
}

// loadURLs gives where each balancer tells its load.
func loadURLs(addresses []string) ([]string, error) {
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
		urls[index] = parsed.JoinPath(loadPath).String()
	}
	return urls, nil
}

// readReport asks one balancer.
func readReport(ctx context.Context, address string) (*loadreport.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "ask")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %s: a balancer with affinity token of this version has %s", response.Status, loadPath)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, loadBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "answer")
	}
	if len(body) > loadBytes {
		return nil, errors.Newf("the answer is longer than %d bytes", loadBytes)
	}
	report := &loadreport.Report{}
	if err := json.Unmarshal(body, report); err != nil {
		return nil, errors.Wrap(err, "answer")
	}
	return report, errors.Wrap(report.Validate(), "answer")
}
