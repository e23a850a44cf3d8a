package logging_test

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/logging"
)

func TestEveryLineHasNodeAndZone(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	logger, err := logging.New(&output, "info", "b1", "za")
	is.NoErr(err)
	logger.Debug().Send() // below the level
	logger.Info().Str(logging.FieldEvent, string(logging.EventReady)).Send()
	var line map[string]string
	is.NoErr(json.Unmarshal(output.Bytes(), &line))
	is.Equal(line[logging.FieldNode], "b1")
	is.Equal(line[logging.FieldZone], "za")
	is.Equal(line[logging.FieldEvent], "ready")
}

func TestUnknownLevelIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := logging.New(io.Discard, "loud", "b1", "za")
	is.True(err != nil)
}

func TestNonBlockingWritesAllOnClose(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	writer := logging.NewNonBlockingWriter(&output, func(int) { t.Error("lines dropped") })
	for range 100 {
		_, err := writer.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.NoErr(writer.Close())
	is.Equal(bytes.Count(output.Bytes(), []byte("\n")), 100)
}

// blockedWriter is a writer whose Write blocks until released is closed.
type blockedWriter struct{ released chan struct{} }

func (output blockedWriter) Write(line []byte) (int, error) {
	<-output.released
	return len(line), nil
}

func TestNonBlockingDropsWhileOutputIsBlocked(t *testing.T) {
	is := is.New(t)
	output := blockedWriter{released: make(chan struct{})}
	dropped := 0
	writer := logging.NewNonBlockingWriter(output, func(lines int) { dropped += lines })
	for range 10_000 { // Write returns although the output is blocked
		_, err := writer.Write([]byte("line\n"))
		is.NoErr(err)
	}
	close(output.released)
	is.NoErr(writer.Close())
	is.True(dropped > 0)
}
