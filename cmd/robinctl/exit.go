package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/operator"
	"robinpulley.example/robinpulley/internal/store"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1 // any other error, e.g. an invalid document in the store
	exitBadInput    = 2 // the input is invalid, or an object doesn't exist
	exitConflict    = 3 // a concurrent change was written first; nothing was written
	exitUnknown     = 4 // the change may or may not have been written
	exitUnavailable = 5 // the store or a queried balancer is unreachable; nothing was written
	exitWaitTimeout = 6 // the change isn't yet in force in every zone; it remains written
)

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, store.ErrUnknownOutcome):
		return exitUnknown
	case errors.Is(err, operator.ErrWaitTimeout):
		return exitWaitTimeout
	case errors.Is(err, store.ErrConflict), errors.Is(err, operator.ErrExists):
		return exitConflict
	case errors.Is(err, operator.ErrBadInput), errors.Is(err, operator.ErrNotFound):
		return exitBadInput
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrThrottled), errors.Is(err, operator.ErrNoResponse):
		return exitUnavailable
	}
	return exitFailed
}

// failure is the JSON form of an error.
type failure struct {
	Error    string `json:"error"`
	ExitCode int    `json:"exit_code"`
}

// report prints the error, if any, and returns the exit code.
func report(stderr io.Writer, output string, err error) int {
	code := exitCode(err)
	switch {
	case err == nil:
	case output == outputJSON:
		_ = json.NewEncoder(stderr).Encode(failure{Error: err.Error(), ExitCode: code})
	default:
		fmt.Fprintf(stderr, "robinctl: %v\n", err)
	}
	return code
}
