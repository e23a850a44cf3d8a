package view

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Snapshot is a whole view that a balancer writes to the store, so that balancers that start need
// not list all entries. It may be several seconds old. A balancer receives the later changes from a
// peer, or by a watch of the store from the snapshot's revision.
type Snapshot struct {
	View Delta
	// Peers contains the control addresses of some balancers that were alive when the snapshot was
	// written. A balancer that starts contacts them if none of its seeds answers.
	Peers []netip.AddrPort
}

// MaxSnapshotPeers is the maximum number of peers in a snapshot.
const MaxSnapshotPeers = 16

// snapshotHeader is the JSON part of an encoded snapshot. Versions without peers ignore that field.
type snapshotHeader struct {
	*Delta
	Peers []netip.AddrPort `json:"peers,omitempty"`
}

// snapshotFormat is the first byte of an encoded snapshot. A compressed block (RFC 1951) follows:
// the length and the JSON of the view without its back ends, and then the back ends in columns.
// Earlier formats are not supported: nodes that start list all entries until the next snapshot is
// written.
const snapshotFormat = 0x03

// maxSnapshotBytes bounds the size of a decompressed snapshot.
const maxSnapshotBytes = 16 << 20

// Snapshot returns the whole view at the present time.
func (r *Replica) Snapshot(now time.Duration) *Snapshot {
	return &Snapshot{View: *r.Delta(now, 0)}
}

// ApplySnapshot applies a snapshot and reports whether anything changed. It ignores a snapshot that
// is older than the replica.
func (r *Replica) ApplySnapshot(now time.Duration, snapshot *Snapshot) bool {
	r.contact.Delayed = true
	_, changed := r.ApplyDelta(now, &snapshot.View)
	return changed
}

// Pack encodes the snapshot for the store.
func (s *Snapshot) Pack() ([]byte, error) {
	header := s.View
	header.Backends = nil
	headerText, err := json.Marshal(snapshotHeader{&header, s.Peers})
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
	plain.text(string(headerText))
	if _, err := writer.Write(append(plain.data, writeColumns(s.View.Backends)...)); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	return packed.Bytes(), nil
}

// UnpackSnapshot decodes a snapshot. It returns an error if the format is unknown or a value is
// unusable.
func UnpackSnapshot(packed []byte) (*Snapshot, error) {
	if len(packed) == 0 || packed[0] != snapshotFormat {
		return nil, errors.New("snapshot: unknown format")
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed[1:])), maxSnapshotBytes))
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	reader := &columnReader{data: plain}
	header := reader.bytes()
	if reader.err != nil {
		return nil, errors.New("snapshot: the view is missing")
	}
	snapshot := &Snapshot{}
	decoded := snapshotHeader{Delta: &snapshot.View}
	if err := json.Unmarshal(header, &decoded); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	if snapshot.Peers = decoded.Peers; len(snapshot.Peers) > MaxSnapshotPeers {
		return nil, errors.Newf("snapshot: %d peers are too many", len(snapshot.Peers))
	}
	for index, peer := range snapshot.Peers {
		if !isHostAddress(peer) {
			return nil, errors.Newf("snapshot: peers[%d]: address %q is not the address of a single host", index, peer)
		}
	}
	if snapshot.View.Backends, err = readColumns(reader.data); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	if snapshot.View.After != 0 {
		return nil, errors.Newf("snapshot: starts after revision %d, want a whole view", snapshot.View.After)
	}
	if err := snapshot.View.validate(); err != nil { // maxSnapshotBytes already bounds its size
		return nil, errors.Wrap(err, "snapshot")
	}
	return snapshot, nil
}
