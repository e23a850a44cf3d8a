package wire

import (
	"bytes"
	"encoding/json"
)

// Kind is the kind of a request.
type Kind string

// The kinds of requests.
const (
	KindTap       Kind = "tap"    // short; must not run twice
	KindUpload    Kind = "upload" // many segments; must arrive completely
	KindFeed      Kind = "feed"   // long-lived; the host sends pushes
	KindKeepalive Kind = "keep"   // client keepalive on a feed
)

// Request is a message from a client to a host: one line of a TCP flow, or one UDP datagram.
type Request struct {
	ID             string `json:"id"` // unique for each attempt
	Kind           Kind   `json:"kind"`
	DeadlineMillis int    `json:"deadline_ms,omitempty"` // from the arrival at the host; 0 means no deadline
	Body           []byte `json:"body,omitempty"`
}

// Answer is a message from a host to a client: one line of a TCP flow, or one UDP datagram.
type Answer struct {
	ID      string `json:"id"`
	Host    string `json:"host"`
	Service string `json:"service"`
	Push    int    `json:"push,omitempty"` // sequence number of a push on a feed
	// Length and Hash (xxhash64) describe the request's body as the host received it.
	Length int    `json:"length,omitempty"`
	Hash   uint64 `json:"hash,omitempty"`
	// NotRun means that the host rejected the request before it ran. The client should retry it
	// after RetryMillis.
	NotRun      bool `json:"not_run,omitempty"`
	RetryMillis int  `json:"retry_ms,omitempty"`
}

// EncodeLine returns a message as one line of JSON.
func EncodeLine(message any) []byte {
	line, err := json.Marshal(message)
	if err != nil {
		panic(err) // can't happen: Request and Answer can always be encoded
	}
	return append(line, '\n')
}

// LineReader splits the bytes of a stream into lines.
type LineReader struct{ pending []byte }

// Add appends bytes of the stream and returns the lines that are complete now.
func (reader *LineReader) Add(data []byte) [][]byte {
	reader.pending = append(reader.pending, data...)
	var complete [][]byte
	for {
		end := bytes.IndexByte(reader.pending, '\n')
		if end < 0 {
			return complete
		}
		complete = append(complete, bytes.Clone(reader.pending[:end]))
		reader.pending = reader.pending[end+1:]
	}
}
