package store

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings are the parameters of a client. Start from DefaultSettings.
type Settings struct {
	// Endpoints are the store's base URLs; the next is used when one fails.
	Endpoints []string
	// Timeout bounds one request.
	Timeout time.Duration
	// RequestsPerSecond and Burst are this client's share of the store's rate limit.
	RequestsPerSecond float64
	Burst             int
	// RetryRatio is how many retries each request earns; RetryBurst how many are saved up at most.
	RetryRatio float64
	RetryBurst float64
	// BackoffBase is the longest wait before the first retry; it doubles up to BackoffMax.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// PageSize is how many keys one request of a listing reads.
	PageSize int
	// WatchIdleLimit renews a watch on which nothing came for so long.
	WatchIdleLimit time.Duration
	// Seed decides the jitter. It differs from client to client.
	Seed uint64
	// Transport sends the requests.
	Transport http.RoundTripper
}

// DefaultSettings gives settings for one client of many.
func DefaultSettings(endpoints []string, seed uint64) Settings {
	return Settings{
		Endpoints:         endpoints,
		Timeout:           3 * time.Second,
		RequestsPerSecond: 20,
		Burst:             20,
		RetryRatio:        0.2,
		RetryBurst:        10,
		BackoffBase:       100 * time.Millisecond,
		BackoffMax:        2 * time.Second,
		PageSize:          500,
		WatchIdleLimit:    15 * time.Second,
		Seed:              seed,
		Transport:         http.DefaultTransport,
	}
}

func (settings *Settings) validate() error {
	if len(settings.Endpoints) == 0 {
		return errors.New("store endpoints: at least one is needed")
	}
	for _, endpoint := range settings.Endpoints {
		parsed, err := url.Parse(endpoint)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			return errors.Newf("store endpoint %q: must be http://HOST:PORT or https://HOST:PORT", endpoint)
		}
	}
	for _, check := range []struct {
		field string
		value any
		valid bool
	}{
		{"timeout", settings.Timeout, settings.Timeout > 0},
		{"requests per second", settings.RequestsPerSecond, settings.RequestsPerSecond > 0},
		{"burst", settings.Burst, settings.Burst > 0},
		{"retry ratio", settings.RetryRatio, settings.RetryRatio >= 0},
		{"retry burst", settings.RetryBurst, settings.RetryBurst >= 0},
		{"backoff base", settings.BackoffBase, settings.BackoffBase > 0},
		{"backoff max", settings.BackoffMax, settings.BackoffMax >= settings.BackoffBase},
		{"page size", settings.PageSize, settings.PageSize > 0},
		{"watch idle limit", settings.WatchIdleLimit, settings.WatchIdleLimit > 0},
		{"transport", settings.Transport, settings.Transport != nil},
	} {
		if !check.valid {
			return errors.Newf("store %s %v: is out of range", check.field, check.value)
		}
	}
	return nil
}

// KeyValue is one key with its value.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64 // zero: there is no such key
	Version        int64 // number of writes since the key was created
	Lease          LeaseID
	// ReadRevision is the store's revision when this was read.
	ReadRevision int64
}

// Exists tells whether the key is in the store.
func (kv *KeyValue) Exists() bool { return kv.ModRevision != 0 }

// Listing is the keys under a prefix.
type Listing struct {
	KeyValues []KeyValue // in ascending order of keys
	// Revision of the store when the first page was read. Keys changed since
	// may be given in their newer state; a watch from Revision+1 gives every change since.
	Revision int64
}

// Client is a client of the store. It may be used by several goroutines.
type Client struct {
	settings Settings
	http     *http.Client
	guard    *guard
	endpoint atomic.Uint32 // index of the endpoint in use
	commits  atomic.Uint64 // calls of Commit so far
}

// New gives a client. It sends nothing.
func New(settings Settings) (*Client, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	client := &Client{settings: settings, http: &http.Client{Transport: settings.Transport}}
	client.guard = newGuard(&client.settings)
	return client, nil
}

// Stats gives the client's counters.
func (client *Client) Stats() Stats {
	var stats Stats
	client.guard.count(func(current *Stats) { stats = *current })
	return stats
}

// Get reads one key; if there is no such key, the result does not exist.
func (client *Client) Get(ctx context.Context, key string) (KeyValue, error) {
	request := rangeRequest{Key: []byte(key)}
	var response rangeResponse
	if err := client.callRetrying(ctx, pathRange, &request, &response); err != nil {
		return KeyValue{}, err
	}
	return single(key, &response), nil
}

func single(key string, response *rangeResponse) KeyValue {
	if len(response.KeyValues) == 0 {
		return KeyValue{Key: key, ReadRevision: int64(response.Header.Revision)}
	}
	return response.KeyValues[0].keyValue(int64(response.Header.Revision))
}

// List reads all keys that begin with prefix, page by page.
func (client *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var listing Listing
	request := rangeRequest{Key: []byte(prefix), RangeEnd: rangeEnd(prefix), Limit: integer(client.settings.PageSize)}
	for {
		var page rangeResponse
		if err := client.callRetrying(ctx, pathRange, &request, &page); err != nil {
			return Listing{}, err
		}
		if listing.Revision == 0 {
			listing.Revision = int64(page.Header.Revision)
		}
		for index := range page.KeyValues {
			listing.KeyValues = append(listing.KeyValues, page.KeyValues[index].keyValue(int64(page.Header.Revision)))
		}
		if !page.More || len(page.KeyValues) == 0 {
			return listing, nil
		}
		last := page.KeyValues[len(page.KeyValues)-1].Key
		request.Key = append(append([]byte{}, last...), 0)
	}
}

// callRetrying repeats a request that may safely run more than once.
func (client *Client) callRetrying(ctx context.Context, path string, request, response any) error {
	client.guard.first()
	for retry := 0; ; retry++ {
		err := client.call(ctx, path, request, response)
		if err == nil {
			return nil
		}
		if !client.mayRetry(err) {
			return err
		}
		if waitError := client.waitToRetry(ctx, retry, err); waitError != nil {
			return err
		}
	}
}

// mayRetry takes a retry from the budget. What the store's rate limit refused
// needs none: the rate that it leads to bounds those retries.
func (client *Client) mayRetry(err error) bool {
	return errors.Is(err, ErrThrottled) || errors.Is(err, ErrUnavailable) && client.guard.spend()
}

func retryable(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrThrottled)
}

// waitToRetry waits for the backoff. It gives an error at once when the
// context would end before.
func (client *Client) waitToRetry(ctx context.Context, retry int, cause error) error {
	wait := client.guard.pause(retry, asError(cause).RetryAfter)
	if deadline, found := ctx.Deadline(); found && time.Until(deadline) <= wait {
		return cause
	}
	return sleep(ctx, wait)
}
