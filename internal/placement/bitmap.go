package placement

import (
	"math/bits"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// bitmapBytes is the size of a bitmap of all buckets.
const bitmapBytes = (lb.BucketCount + 7) / 8

// Bitmap is a set of buckets: bucket b is bit b%8 of byte b/8.
type Bitmap [bitmapBytes]byte

// ParseBitmap reads the form used in documents: empty for no bucket, else all
// bytes. Bits beyond the last bucket must be zero.
func ParseBitmap(data []byte) (Bitmap, error) {
	var bitmap Bitmap
	if len(data) == 0 {
		return bitmap, nil
	}
	if len(data) != bitmapBytes {
		return bitmap, errors.Newf("bitmap has %d bytes, must have 0 or %d", len(data), bitmapBytes)
	}
	copy(bitmap[:], data)
	const spareBits = bitmapBytes*8 - lb.BucketCount
	if bitmap[bitmapBytes-1]>>(8-spareBits) != 0 {
		return Bitmap{}, errors.Newf("bitmap has bits beyond bucket %d", lb.BucketCount-1)
	}
	return bitmap, nil
}

// Bytes gives the form used in documents: nil when no bucket is marked.
func (bitmap *Bitmap) Bytes() []byte {
	if bitmap.IsEmpty() {
		return nil
	}
	return append([]byte(nil), bitmap[:]...)
}

// Has tells whether the bucket is marked.
func (bitmap *Bitmap) Has(bucket uint16) bool { return bitmap[bucket/8]&(1<<(bucket%8)) != 0 }

// Set marks the bucket.
func (bitmap *Bitmap) Set(bucket uint16) { bitmap[bucket/8] |= 1 << (bucket % 8) }

// Clear unmarks the bucket.
func (bitmap *Bitmap) Clear(bucket uint16) { bitmap[bucket/8] &^= 1 << (bucket % 8) }

// IsEmpty tells whether no bucket is marked.
func (bitmap *Bitmap) IsEmpty() bool { return *bitmap == Bitmap{} }

// Count gives the number of marked buckets.
func (bitmap *Bitmap) Count() int {
	count := 0
	for _, part := range bitmap {
		count += bits.OnesCount8(part)
	}
	return count
}

// Union marks every bucket that other marks.
func (bitmap *Bitmap) Union(other *Bitmap) {
	for index := range bitmap {
		bitmap[index] |= other[index]
	}
}
