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
	View Delta `json:"view"`
}

// snapshotFormat is the first byte of a packed snapshot: JSON, compressed (RFC
// 1951), with evacuated zones. One without them (0x01) would restore all zones
// at the nodes that start from it, and is not read.
const snapshotFormat = 0x02

// maxSnapshotBytes bounds what an unpacked snapshot may hold.
const maxSnapshotBytes = 64 << 20

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
	var packed bytes.Buffer
	packed.WriteByte(snapshotFormat)
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	if err := json.NewEncoder(writer).Encode(s); err != nil {
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
	reader := io.LimitReader(flate.NewReader(bytes.NewReader(packed[1:])), maxSnapshotBytes)
	snapshot := &Snapshot{}
	if err := json.NewDecoder(reader).Decode(snapshot); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	if snapshot.View.After != 0 {
		return nil, errors.Newf("snapshot: after %d, want a whole view", snapshot.View.After)
	}
	if err := snapshot.View.Validate(); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	return snapshot, nil
}
