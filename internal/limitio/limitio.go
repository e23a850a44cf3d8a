// Package limitio reads data whose size its sender decides. Unlike with io.LimitReader, data beyond
// the limit is an error of its own, so that it is not mistaken for data that ends early.
package limitio

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge is wrapped by the error of ReadAll for data beyond the limit.
var ErrTooLarge = errors.New("data exceeds the size limit")

// ReadAll reads until EOF. If there are more than limit bytes, it stops there and returns an error
// that wraps ErrTooLarge.
func ReadAll(reader io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
	}
	return data, nil
}
