package view_test

import (
	"os"
	"testing"

	"robinpulley.example/robinpulley/internal/rapidseed"
)

// TestMain fixes the seed of the property tests, so that every run has the same result.
func TestMain(m *testing.M) { os.Exit(rapidseed.Run(m)) }
