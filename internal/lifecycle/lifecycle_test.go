package lifecycle

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/lb"
)

func TestPlannedStopBeginsOnce(t *testing.T) {
	is := is.New(t)
	lifecycle := New(zerolog.Nop())
	is.Equal(lifecycle.IsStopping(), false)
	lifecycle.Stop()
	lifecycle.Stop() // a second call has no effect
	is.True(lifecycle.IsStopping())
	<-lifecycle.Stopping()
}

func TestLifecycleEvents(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	lifecycle := New(zerolog.New(&output))
	lifecycle.LogFailure(nil)
	is.Equal(output.Len(), 0)
	lifecycle.LogFailure(errors.New("no more descriptors"))
	lifecycle.LogStopped(DrainLimit)
	is.True(errors.Is(lifecycle.StoppedImmediately(), lb.ErrStoppedImmediately))
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	is.Equal(lines, []string{
		`{"level":"error","error":"no more descriptors","event":"failed"}`,
		`{"level":"info","event":"stopped","reason":"drain_limit"}`,
		`{"level":"info","event":"stopped_at_once"}`,
	})
}

func TestCloseOfUnopenedEndpoints(*testing.T) {
	(&Endpoints{}).Close()
}
