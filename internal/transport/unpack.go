package transport

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// Unpack gives the plain line that Pack was given, cut at the bound of what
// one connection may bring.
func Unpack(packed []byte) ([]byte, error) {
	line, err := io.ReadAll(io.LimitReader(unpack(bytes.NewReader(packed)), streamBytes))
	return line, errors.Wrapf(err, "packed line of %d bytes", len(packed))
}
