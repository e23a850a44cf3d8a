package store

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// Causes of errors, to be told apart with errors.Is.
var (
	// ErrUnavailable: the store cannot be reached or does not work.
	ErrUnavailable = errors.New("store unavailable")
	// ErrThrottled: the rate limit, of the store or of this client, was exceeded.
	ErrThrottled = errors.New("store rate limit")
	// ErrRefused: the store found the request invalid.
	ErrRefused = errors.New("store refused the request")
	// ErrUnknownOutcome: it could not be found out whether a write took effect.
	ErrUnknownOutcome = errors.New("outcome of the write unknown")
	// ErrConflict: a condition of a transaction does not hold; see ConflictError.
	ErrConflict = errors.New("conflict")
	// ErrCompacted: the history asked for is no longer kept.
	ErrCompacted = errors.New("history compacted")
	// ErrLeaseLost: the lease has ended or belongs to another holder.
	ErrLeaseLost = errors.New("lease lost")
)

// Error is the error of every request to the store.
type Error struct {
	// Verdict is NotRun where the store is known not to have run the request.
	Verdict lb.Verdict
	Cause   error
	// RetryAfter is when to come back; zero where the store said nothing.
	RetryAfter time.Duration
}

// Error gives verdict and cause.
func (err *Error) Error() string {
	if err.RetryAfter > 0 {
		return fmt.Sprintf("%v (%v, retry after %v)", err.Cause, err.Verdict, err.RetryAfter)
	}
	return fmt.Sprintf("%v (%v)", err.Cause, err.Verdict)
}

// Unwrap gives the cause.
func (err *Error) Unwrap() error { return err.Cause }

// ConflictError says which condition of a transaction does not hold.
type ConflictError struct {
	Condition Condition
	// Current is what is under the key now; its ModRevision is zero if nothing is.
	Current KeyValue
}

// Error names the key and both revisions.
func (err *ConflictError) Error() string {
	return fmt.Sprintf("conflict: %s is at revision %d, expected %d",
		err.Condition.Key, err.Condition.actual(&err.Current), err.Condition.Revision)
}

// Unwrap gives ErrConflict.
func (err *ConflictError) Unwrap() error { return ErrConflict }

func notRun(cause error) *Error { return &Error{Verdict: lb.NotRun, Cause: cause} }

func mayHaveRun(cause error) *Error { return &Error{Verdict: lb.MayHaveRun, Cause: cause} }

// asError gives err as an *Error; one of another kind counts as MayHaveRun.
func asError(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return mayHaveRun(err)
}
