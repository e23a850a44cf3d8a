package store

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings are the parameters of a client. Callers start from DefaultSettings.
type Settings struct {
	// Endpoints are the base URLs of the store. After a failed request the client switches to the
	// next one.
	Endpoints []string
	// Timeout bounds one request, including reading its response.
	Timeout time.Duration
	// RequestsPerSecond and Burst limit the requests of this client. They are its share of the
	// store's rate limit.
	RequestsPerSecond float64
	Burst             int
	// RetryRatio is the number of retry tokens that each request adds to the retry budget.
	// RetryBurst is the maximum number of tokens in the budget.
	RetryRatio float64
	RetryBurst float64
	// BackoffBase is the maximum delay before the first retry. The delay doubles with each retry,
	// up to BackoffMax.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// PageSize is the maximum number of keys that List reads with one request.
	PageSize int
	// WatchIdleLimit is the time without any message after which the client reopens a watch stream.
	WatchIdleLimit time.Duration
	// Seed initializes the random generator for jitter. Each client needs a different seed.
	Seed uint64
	// Transport sends the HTTP requests.
	Transport http.RoundTripper
}

// DefaultSettings returns settings for one client among many of the same store.
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

// KeyValue is the state of one key: its value and its revisions in the store.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64 // 0: the key does not exist
	Version        int64 // number of writes since the key was created, 1 after the creation
	Lease          LeaseID
	// ReadRevision is the store revision at which this state was read.
	ReadRevision int64
}

// Exists reports whether the key exists in the store.
func (kv *KeyValue) Exists() bool { return kv.ModRevision != 0 }

// Listing is the result of List: all keys with a common prefix.
type Listing struct {
	KeyValues []KeyValue // in ascending order of keys
	// Revision is the store revision at which the first page was read. Keys that changed while
	// later pages were read may appear in their newer state. A watch that starts at Revision+1
	// delivers every change since then.
	Revision int64
}

// Client is a client of the store. It is safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client
	policy   *requestPolicy
	// endpoint counts the switches to another endpoint. Modulo the number of endpoints it is the
	// index of the current one.
	endpoint atomic.Uint32
	commits  atomic.Uint64 // number of calls of Commit so far
}

// New returns a client for the settings. It sends no request.
func New(settings Settings) (*Client, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	client := &Client{settings: settings, http: &http.Client{Transport: settings.Transport}}
	client.policy = newRequestPolicy(&client.settings)
	return client, nil
}

// Stats returns a copy of the client's counters.
func (client *Client) Stats() Stats {
	var stats Stats
	client.policy.updateStats(func(current *Stats) { stats = *current })
	return stats
}

// Get reads one key. If the key does not exist, the result's Exists method returns false.
func (client *Client) Get(ctx context.Context, key string) (KeyValue, error) {
	request := rangeRequest{Key: []byte(key)}
	var response rangeResponse
	if err := client.callWithRetries(ctx, pathRange, &request, &response); err != nil {
		return KeyValue{}, err
	}
	return keyValueOf(key, &response), nil
}

// keyValueOf returns the state of the key from the response to a range request for this key alone.
func keyValueOf(key string, response *rangeResponse) KeyValue {
	if len(response.KeyValues) == 0 {
		return KeyValue{Key: key, ReadRevision: int64(response.Header.Revision)}
	}
	return response.KeyValues[0].keyValue(int64(response.Header.Revision))
}

// List reads all keys that begin with prefix, in pages of Settings.PageSize keys.
func (client *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var listing Listing
	request := rangeRequest{Key: []byte(prefix), RangeEnd: rangeEnd(prefix), Limit: integer(client.settings.PageSize)}
	for {
		var page rangeResponse
		if err := client.callWithRetries(ctx, pathRange, &request, &page); err != nil {
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

// callWithRetries sends a request and retries it after failures. The request must be safe to
// execute more than once.
func (client *Client) callWithRetries(ctx context.Context, path string, request, response any) error {
	client.policy.addRetryTokens()
	for retry := 0; ; retry++ {
		err := client.call(ctx, path, request, response)
		if err == nil {
			return nil
		}
		if !client.allowRetry(err) {
			return err
		}
		if waitError := client.waitBeforeRetry(ctx, retry, err); waitError != nil {
			return err
		}
	}
}

// allowRetry reports whether a request that failed with err may be retried, and takes a token from
// the retry budget for it. Retries of requests that were rejected by the store's rate limit need no
// token, because each rejection lowers the client's own request rate, which bounds these retries.
func (client *Client) allowRetry(err error) bool {
	return errors.Is(err, ErrThrottled) || errors.Is(err, ErrUnavailable) && client.policy.takeRetryToken()
}

// retryable reports whether a later attempt of a request that failed with err may succeed.
func retryable(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrThrottled)
}

// waitBeforeRetry waits for the backoff delay before a retry. It returns an error immediately if
// the deadline of ctx would pass during the delay.
func (client *Client) waitBeforeRetry(ctx context.Context, retry int, cause error) error {
	wait := client.policy.retryDelay(retry, asError(cause).RetryAfter)
	if deadline, found := ctx.Deadline(); found && time.Until(deadline) <= wait {
		return cause
	}
	return sleep(ctx, wait)
}
