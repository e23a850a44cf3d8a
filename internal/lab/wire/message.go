package wire

import (
	"bytes"
	"encoding/json"
)

// Kind is the kind of a request.
type Kind string

// The kinds of requests.
const (
	KindTap       Kind = "tap"    // short, must not run twice
	KindUpload    Kind = "upload" // many segments, must land whole
	KindFeed      Kind = "feed"   // long, the host pushes
	KindKeepalive Kind = "keep"   // client keepalive on a feed
)

// Request is one line from a caller. On UDP it is one datagram.
type Request struct {
	ID             string `json:"id"` // unique for each try
	Kind           Kind   `json:"kind"`
	DeadlineMillis int    `json:"deadline_ms,omitempty"` // from arrival; 0 is none
	Body           []byte `json:"body,omitempty"`
}

// Answer is one line from a host.
type Answer struct {
	ID      string `json:"id"`
	Host    string `json:"host"`
	Service string `json:"service"`
	Push    int    `json:"push,omitempty"`
	// Length and Hash (xxhash64) are of the request's body as received.
	Length int    `json:"length,omitempty"`
	Hash   uint64 `json:"hash,omitempty"`
	// NotRun: refused by the host before it ran, come back after RetryMillis.
	NotRun      bool `json:"not_run,omitempty"`
	RetryMillis int  `json:"retry_ms,omitempty"`
}

// EncodeLine gives a message as one JSON line.
func EncodeLine(message any) []byte {
	line, err := json.Marshal(message)
	if err != nil {
		panic(err) // the messages above always encode
	}
	return append(line, '\n')
}

// LineReader collects a stream's bytes and gives its whole lines.
type LineReader struct{ pending []byte }

// Add appends bytes and gives the lines that are now whole.
func (lines *LineReader) Add(data []byte) [][]byte {
	lines.pending = append(lines.pending, data...)
	var whole [][]byte
	for {
		end := bytes.IndexByte(lines.pending, '\n')
		if end < 0 {
			return whole
		}
		whole = append(whole, bytes.Clone(lines.pending[:end]))
		lines.pending = lines.pending[end+1:]
	}
}
