package transport

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// Unpack returns the line that was passed to Pack, truncated to the limit of one connection.
func Unpack(packed []byte) ([]byte, error) {
	line, err := io.ReadAll(io.LimitReader(unpack(bytes.NewReader(packed)), maxStreamBytes))
	return line, errors.Wrapf(err, "packed line of %d bytes", len(packed))
}
