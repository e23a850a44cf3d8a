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
	life := New(zerolog.Nop())
	is.Equal(life.IsStopping(), false)
	life.Stop()
	life.Stop() // a second call has no effect
	is.True(life.IsStopping())
	<-life.Stopping()
}

func TestLifecycleEvents(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	life := New(zerolog.New(&output))
	life.LogFailure(nil)
	is.Equal(output.Len(), 0)
	life.LogFailure(errors.New("no more descriptors"))
	life.LogStopped(DrainLimit)
	is.True(errors.Is(life.StoppedImmediately(), lb.ErrStoppedImmediately))
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
