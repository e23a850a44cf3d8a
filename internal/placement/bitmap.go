package placement

import (
	"math/bits"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// bitmapBytes is the size of a bitmap with one bit for each bucket.
const bitmapBytes = (lb.BucketCount + 7) / 8

// Bitmap is a set of buckets: bucket b is bit b%8 of byte b/8.
type Bitmap [bitmapBytes]byte

// ParseBitmap parses the encoding used in documents: empty if no bucket is marked, otherwise all
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

// Bytes returns the encoding used in documents: nil if no bucket is marked.
func (bitmap *Bitmap) Bytes() []byte {
	if bitmap.IsEmpty() {
		return nil
	}
	return append([]byte(nil), bitmap[:]...)
}

// Has reports whether the bucket is marked.
func (bitmap *Bitmap) Has(bucket uint16) bool { return bitmap[bucket/8]&(1<<(bucket%8)) != 0 }

// Set marks the bucket.
func (bitmap *Bitmap) Set(bucket uint16) { bitmap[bucket/8] |= 1 << (bucket % 8) }

// Clear unmarks the bucket.
func (bitmap *Bitmap) Clear(bucket uint16) { bitmap[bucket/8] &^= 1 << (bucket % 8) }

// IsEmpty reports whether no bucket is marked.
func (bitmap *Bitmap) IsEmpty() bool { return *bitmap == Bitmap{} }

// Count returns the number of marked buckets.
func (bitmap *Bitmap) Count() int {
	count := 0
	for _, part := range bitmap {
		count += bits.OnesCount8(part)
	}
	return count
}

// Union marks every bucket that is marked in other.
func (bitmap *Bitmap) Union(other *Bitmap) {
	for index := range bitmap {
		bitmap[index] |= other[index]
	}
}
