package wire

import (
	"bytes"
	"encoding/json"
)

// Kind is the kind of a request.
type Kind string

// The kinds of requests.
const (
	KindTap    Kind = "tap"    // short, must not run twice
	KindUpload Kind = "upload" // many segments, must land whole
	KindFeed   Kind = "feed"   // long, the host pushes
	KindKeep   Kind = "keep"   // client keepalive on a feed
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

// Line gives a message as one JSON line.
func Line(message any) []byte {
	line, err := json.Marshal(message)
	if err != nil {
		panic(err) // the messages above always encode
	}
	return append(line, '\n')
}

// Lines collects a stream's bytes and gives its whole lines.
type Lines struct{ partial []byte }

// Add appends bytes and gives the lines that are now whole.
func (lines *Lines) Add(data []byte) [][]byte {
	lines.partial = append(lines.partial, data...)
	var whole [][]byte
	for {
		end := bytes.IndexByte(lines.partial, '\n')
		if end < 0 {
			return whole
		}
		whole = append(whole, bytes.Clone(lines.partial[:end]))
		lines.partial = lines.partial[end+1:]
	}
}
