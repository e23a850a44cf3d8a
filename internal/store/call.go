package store

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/limitio"
)

// maxResponseBytes is the maximum size of the response to one request.
const maxResponseBytes = 16 << 20

// call sends one request and decodes its response.
func (client *Client) call(ctx context.Context, path string, request, response any) error {
	ctx, cancel := context.WithTimeoutCause(ctx, client.settings.Timeout, errTimeout)
	defer cancel()
	httpResponse, err := client.send(ctx, path, request)
	if err != nil {
		return err
	}
	defer httpResponse.Body.Close()
	body, err := limitio.ReadAll(httpResponse.Body, maxResponseBytes)
	if err == nil {
		err = json.Unmarshal(body, response)
	}
	if err != nil {
		client.recordNoResponse(ctx)
		return mayHaveRunError(unavailableError(err, "response to "+path))
	}
	client.policy.recordSuccess()
	return nil
}

// errTimeout is the cancellation cause of a context that ended because of the client's own timeout,
// as opposed to the caller's context.
var errTimeout = errors.New("no response within the timeout")

// send sends one request and returns the response if its status is 200. In this case the caller
// must report the outcome to the request policy. If send returns an error, it has done everything
// that the request policy requires.
func (client *Client) send(ctx context.Context, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, notRunError(errors.Wrap(err, path))
	}
	if err := client.policy.admit(ctx); err != nil {
		return nil, err
	}
	endpoint := client.endpoint.Load()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	url := client.settings.Endpoints[int(endpoint)%len(client.settings.Endpoints)] + path
	httpRequest, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		client.policy.recordCanceled()
		return nil, notRunError(errors.Wrap(err, path))
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpResponse, err := client.http.Do(httpRequest)
	if err != nil {
		client.recordNoResponse(ctx)
		client.endpoint.CompareAndSwap(endpoint, endpoint+1)
		verdict := lb.MayHaveRun
		if !connected.Load() {
			verdict = lb.NotRun // without a connection, no byte of the request was sent
		}
		return nil, &Error{Verdict: verdict, Cause: unavailableError(err, path)}
	}
	if httpResponse.StatusCode == http.StatusOK {
		return httpResponse, nil
	}
	defer httpResponse.Body.Close()
	result := client.classify(path, httpResponse)
	if errors.Is(result, ErrUnavailable) {
		client.endpoint.CompareAndSwap(endpoint, endpoint+1)
	}
	return nil, result
}

// recordNoResponse reports to the request policy that a request has received no usable response. If
// the caller's context ended first, this is no failure of the store.
func (client *Client) recordNoResponse(ctx context.Context) {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTimeout) {
		client.policy.recordCanceled()
		return
	}
	client.policy.recordFailure()
}

// classify converts a response whose status is not 200 into an error.
func (client *Client) classify(path string, httpResponse *http.Response) error {
	// If the body is unreadable, the error contains only the status code.
	body, _ := limitio.ReadAll(httpResponse.Body, maxResponseBytes)
	var failure gatewayError
	_ = json.Unmarshal(body, &failure)
	cause := errors.Newf("%s: status %d, code %d: %s", path, httpResponse.StatusCode, failure.Code, failure.Message)
	return client.classifyCode(httpResponse.StatusCode, failure.Code, retryAfter(httpResponse.Header), cause)
}

// classifyCode returns the error for an HTTP status and a gRPC code and reports the outcome to the
// request policy. A 5xx status and the code "unavailable" count as failures of the store. All other
// error responses show that the store is working.
func (client *Client) classifyCode(status, code int, after time.Duration, cause error) error {
	switch {
	case status == http.StatusTooManyRequests || code == codeResourceExhausted:
		after = client.policy.recordThrottled(after)
		return &Error{Verdict: lb.NotRun, Cause: errors.WithSecondaryError(ErrThrottled, cause), RetryAfter: after}
	case code == codeOutOfRange:
		client.policy.recordSuccess()
		return notRunError(errors.WithSecondaryError(ErrCompacted, cause))
	case status >= http.StatusInternalServerError || code == codeUnavailable:
		client.policy.recordFailure()
		return &Error{Verdict: lb.MayHaveRun, Cause: unavailableError(cause, "response"), RetryAfter: after}
	}
	client.policy.recordSuccess()
	return notRunError(errors.Wrap(errors.Mark(cause, ErrRejected), ErrRejected.Error()))
}

// unavailableError returns an error that wraps ErrUnavailable and contains the reason in its text.
func unavailableError(reason error, operation string) error {
	return errors.Wrapf(ErrUnavailable, "%s: %v", operation, reason)
}

// retryAfter parses the Retry-After header in its form in seconds (RFC 9110, section 10.2.3). It
// returns 0 if the header is missing or invalid.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
