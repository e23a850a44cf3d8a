package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// maxAnswerBytes bounds the answer to one request.
const maxAnswerBytes = 16 << 20

// call sends one request and reads its answer.
func (client *Client) call(ctx context.Context, path string, request, response any) error {
	ctx, cancel := context.WithTimeoutCause(ctx, client.settings.Timeout, errTimeout)
	defer cancel()
	answer, err := client.send(ctx, path, request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err == nil {
		err = json.Unmarshal(body, response)
	}
	if err != nil {
		client.noAnswer(ctx)
		return mayHaveRun(unavailable(err, "answer to "+path))
	}
	client.guard.succeeded()
	return nil
}

// errTimeout is the cause of a context that ended by the client's own timeout.
var errTimeout = errors.New("no answer in time")

// send sends one request and gives the answer, if its status is success; the
// guard is then still to be told the result.
func (client *Client) send(ctx context.Context, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, notRun(errors.Wrap(err, path))
	}
	if err := client.guard.admit(ctx); err != nil {
		return nil, err
	}
	endpoint := client.endpoint.Load()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	url := client.settings.Endpoints[int(endpoint)%len(client.settings.Endpoints)] + path
	httpRequest, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		client.guard.abandoned()
		return nil, notRun(errors.Wrap(err, path))
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	answer, err := client.http.Do(httpRequest)
	if err != nil {
		client.noAnswer(ctx)
		client.endpoint.CompareAndSwap(endpoint, endpoint+1)
		verdict := lb.MayHaveRun
		if !connected.Load() {
			verdict = lb.NotRun // nothing was sent
		}
		return nil, &Error{Verdict: verdict, Cause: unavailable(err, path)}
	}
	if answer.StatusCode == http.StatusOK {
		return answer, nil
	}
	defer answer.Body.Close()
	result := client.classify(path, answer)
	if errors.Is(result, ErrUnavailable) {
		client.endpoint.CompareAndSwap(endpoint, endpoint+1)
	}
	return nil, result
}

// noAnswer tells the guard, unless it was the caller who gave up.
func (client *Client) noAnswer(ctx context.Context) {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTimeout) {
		client.guard.abandoned()
		return
	}
	client.guard.failed()
}

// classify turns an answer that is not a success into an error.
func (client *Client) classify(path string, answer *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes)) // an unreadable text leaves the status
	var failure gatewayError
	_ = json.Unmarshal(body, &failure)
	cause := errors.Newf("%s: status %d, code %d: %s", path, answer.StatusCode, failure.Code, failure.Message)
	return client.classifyCode(answer.StatusCode, failure.Code, retryAfter(answer.Header), cause)
}

func (client *Client) classifyCode(status, code int, after time.Duration, cause error) error {
	switch {
	case status == http.StatusTooManyRequests || code == codeResourceExhausted:
		after = client.guard.throttled(after)
		return &Error{Verdict: lb.NotRun, Cause: errors.WithSecondaryError(ErrThrottled, cause), RetryAfter: after}
	case code == codeOutOfRange:
		client.guard.succeeded()
		return notRun(errors.WithSecondaryError(ErrCompacted, cause))
	case status >= http.StatusInternalServerError || code == codeUnavailable:
		client.guard.failed()
		return &Error{Verdict: lb.MayHaveRun, Cause: unavailable(cause, "answer"), RetryAfter: after}
	}
	client.guard.succeeded()
	return notRun(errors.Wrap(errors.Mark(cause, ErrRefused), ErrRefused.Error()))
}

// unavailable gives ErrUnavailable with the reason in its text.
func unavailable(reason error, what string) error {
	return errors.Wrapf(ErrUnavailable, "%s: %v", what, reason)
}

// retryAfter reads the header of that name, in seconds (RFC 9110, section 10.2.3).
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
