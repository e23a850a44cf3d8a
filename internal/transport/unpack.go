package transport

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// Unpack gives the plain line that Pack was given.
func Unpack(packed []byte) ([]byte, error) {
	line, err := io.ReadAll(unpack(bytes.NewReader(packed)))
	return line, errors.Wrapf(err, "packed line of %d bytes", len(packed))
}
