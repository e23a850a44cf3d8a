package steering

import (
	"os"
	"testing"

	"robinpulley.example/robinpulley/internal/rapidseed"
)

// TestMain fixes the seed of the property tests, so that every run has the same verdict.
func TestMain(m *testing.M) { os.Exit(rapidseed.Run(m)) }
