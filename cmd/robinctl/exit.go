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
	exitFailed      = 1 // none of the others, e.g. an invalid document in the store
	exitBadInput    = 2 // the command's own input, or an object that does not exist
	exitConflict    = 3 // another change came first; nothing was written
	exitUnknown     = 4 // the change may or may not have been made
	exitUnavailable = 5 // the store, or a balancer that was asked, cannot be reached; nothing was written
	exitWaitTimeout = 6 // not in force everywhere in time; the change stays
)

// exitCode gives the exit code for an error.
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

// failure is an error in JSON output.
type failure struct {
	Error    string `json:"error"`
	ExitCode int    `json:"exit_code"`
}

// report prints the error, if there is one, and gives the exit code.
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
