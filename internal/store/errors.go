package store

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// Causes of errors. Callers distinguish them with errors.Is.
var (
	// ErrUnavailable means that the store cannot be reached or does not work.
	ErrUnavailable = errors.New("store unavailable")
	// ErrThrottled means that the rate limit of the store or of this client was exceeded.
	ErrThrottled = errors.New("store rate limit")
	// ErrRejected means that the store rejected the request as invalid.
	ErrRejected = errors.New("store rejected the request")
	// ErrUnknownOutcome means that the client could not determine whether a write took effect.
	ErrUnknownOutcome = errors.New("outcome of the write unknown")
	// ErrConflict means that a condition of a transaction does not hold; see ConflictError.
	ErrConflict = errors.New("conflict")
	// ErrCompacted means that the store has compacted the requested part of its history.
	ErrCompacted = errors.New("history compacted")
	// ErrLeaseLost means that the lease has expired or that another holder has it.
	ErrLeaseLost = errors.New("lease lost")
)

// Error is the error type of every failed request to the store.
type Error struct {
	// Verdict is NotRun if it is certain that the store has not executed the request.
	Verdict lb.Verdict
	Cause   error
	// RetryAfter is the minimum time to wait before a retry. It is 0 if the store returned none.
	RetryAfter time.Duration
}

// Error returns the cause, the verdict and the retry time, if there is one.
func (err *Error) Error() string {
	if err.RetryAfter > 0 {
		return fmt.Sprintf("%v (%v, retry after %v)", err.Cause, err.Verdict, err.RetryAfter)
	}
	return fmt.Sprintf("%v (%v)", err.Cause, err.Verdict)
}

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.Cause }

// ConflictError reports which condition of a transaction does not hold.
type ConflictError struct {
	Condition Condition
	// Current is the state of the key when the store evaluated the condition. Its ModRevision is 0
	// if the key does not exist.
	Current KeyValue
}

// Error names the key and the actual and expected revisions.
func (err *ConflictError) Error() string {
	return fmt.Sprintf("conflict: %s is at revision %d, expected %d",
		err.Condition.Key, err.Condition.actualRevision(&err.Current), err.Condition.Revision)
}

// Unwrap returns ErrConflict.
func (err *ConflictError) Unwrap() error { return ErrConflict }

// notRunError returns an error for a request that the store has not executed.
func notRunError(cause error) *Error { return &Error{Verdict: lb.NotRun, Cause: cause} }

// mayHaveRunError returns an error for a request that the store may have executed.
func mayHaveRunError(cause error) *Error { return &Error{Verdict: lb.MayHaveRun, Cause: cause} }

// asError returns the *Error in the chain of err. If there is none, it returns an error with the
// verdict MayHaveRun, because it is not certain that the store has not executed the request.
func asError(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return mayHaveRunError(err)
}
