package view

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Snapshot is a whole view that one balancer leaves in the store, so that
// balancers that start need not list all entries. It may be seconds old, and
// says nothing of the present: a peer or a watch from its revision does.
type Snapshot struct {
	View Delta
}

// snapshotFormat is the first byte of a packed snapshot: the length and the JSON of the
// view without its back ends, then these in columns, all compressed (RFC 1951). Others
// before it are not read: nodes that start list all entries until the next one is written.
const snapshotFormat = 0x03

// maxSnapshotBytes bounds what an unpacked snapshot may hold.
const maxSnapshotBytes = 16 << 20

// Snapshot gives the whole view as it is now.
func (r *Replica) Snapshot(now time.Duration) *Snapshot {
	return &Snapshot{View: *r.Delta(now, 0)}
}

// ApplySnapshot takes a snapshot and tells whether anything changed. One older
// than the replica is ignored.
func (r *Replica) ApplySnapshot(now time.Duration, snapshot *Snapshot) bool {
	_, changed := r.ApplyDelta(now, &snapshot.View)
	return changed
}

// Pack gives the snapshot in the form in which it is kept.
func (s *Snapshot) Pack() ([]byte, error) {
	frame := s.View
	frame.Backends = nil
	head, err := json.Marshal(&frame)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	var packed bytes.Buffer
	packed.WriteByte(snapshotFormat)
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	plain := &columnWriter{}
	plain.text(string(head))
	if _, err := writer.Write(append(plain.data, writeColumns(s.View.Backends)...)); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	return packed.Bytes(), nil
}

// UnpackSnapshot reads a snapshot. One of another format, or with a value that
// cannot be used, is an error.
func UnpackSnapshot(packed []byte) (*Snapshot, error) {
	if len(packed) == 0 || packed[0] != snapshotFormat {
		return nil, errors.New("snapshot: of no known format")
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed[1:])), maxSnapshotBytes))
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	parts := &columnReader{data: plain}
	head := parts.bytes()
	if parts.err != nil {
		return nil, errors.New("snapshot: has no view")
	}
	snapshot := &Snapshot{}
	if err := json.Unmarshal(head, &snapshot.View); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	if snapshot.View.Backends, err = readColumns(parts.data); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	if snapshot.View.After != 0 {
		return nil, errors.Newf("snapshot: after %d, want a whole view", snapshot.View.After)
	}
	if err := snapshot.View.validate(); err != nil { // its bytes are its bound
		return nil, errors.Wrap(err, "snapshot")
	}
	return snapshot, nil
}
