package limitio_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/limitio"
)

func TestReadAll(t *testing.T) {
	is := is.New(t)
	data, err := limitio.ReadAll(strings.NewReader("12345"), 5)
	is.NoErr(err)
	is.Equal(string(data), "12345")
	_, err = limitio.ReadAll(strings.NewReader("123456"), 5)
	is.True(errors.Is(err, limitio.ErrTooLarge))
	is.Equal(err.Error(), "more than 5 bytes: data exceeds the size limit")
	_, err = limitio.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 5)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}
