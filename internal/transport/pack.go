package transport

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/message"
)

// packedMark is the first byte of a datagram or connection whose rest is
// compressed (RFC 1951). A plain line begins with a brace.
const packedMark = 0x01

// packThreshold is the size below which compression does not pay.
const packThreshold = 256

// packDictionary primes the compression with what most placements contain;
// both sides must have the same. The most frequent parts stand last.
const packDictionary = `{"type":"ping_req","from":"","body":{"q":1,"t":"","u":[{"n":"","s":"suspect","i":1800000000000}]}}` +
	`{"type":"ping","from":"","body":{"q":1,"i":1800000000000,"u":[{"n":"","s":"leaving","i":1800000000000},` +
	`{"n":"","s":"dead","i":1800000000000},{"n":"","s":"dead","i":1800000000000}],"g":1,"m":1}}` +
	`{"type":"ping_ack","from":"","body":{"q":1,"i":1800000000000,"u":[]}}{"type":"members","from":"","body":{"u":[{"n":"","z":"","c":"10.0.0.1:4700","d":"10.0.0.1:6081","s":"alive","i":1800000000000},` +
	`{"type":"want","from":"","body":{"groups":[1],"versions":[{"s":"","v":1},{"s":"","v":2}],"reply":true}}` +
	`{"type":"placements","from":"","body":{"placements":[{"service":"","version":1,"write_id":"",` +
	`"frontends":[{"address":"192.0.2.1:443","protocol":"tcp"},{"address":"192.0.2.1:53","protocol":"udp"}],` +
	`"backends":[{"id":1,"name":"","host":"10.0.0.1:6081","state":"failed"},{"id":2,"name":"","host":"10.0.0.2:6081","state":"draining"},` +
	`{"id":3,"name":"","host":"10.0.0.3:6081","state":"active"},{"id":4,"name":"","host":"10.0.0.4:6081","state":"active"}],` +
	`"generations":[{"v":1,"b":[{"id":1,"w":100},{"id":2,"w":100},{"id":3,"w":100},{"id":4,"w":100}]},{"v":2,"b":[{"id":5,"w":100}]}],` +
	`"current":1,"history":"AAAAAAAA","opens_per_second":1000,"deleted":true,"next_backend_id":5,"config_revision":1}]}}` +
	`{"type":"view_delta","from":"","body":{"age_ms":1,"origin":"","delta":{"after":1,"revision":1,"version":1,"configuration_revision":1,` +
	`"routes":[{"revision":1,"gone":true,"route":{"frontend":{"address":"198.18.0.1:443","protocol":"tcp"},"targets":[{"service":"","weight":1}]}}],` +
	`"backends":[{"revision":1,"gone":true,"gone_ms":1,"backend":{"name":"i-","identity":1,"service":"","address":"10.0.0.1:8080","zone":"","state":"draining","created":1,"slots":2}},` +
	`{"revision":1,"backend":{"name":"i-","identity":1,"service":"","address":"10.0.0.1:8080","zone":"","state":"active","created":1,"slots":2}}]}}}`

// idlePackers keeps a few writers for use again: each takes about a megabyte
// of tables, whose allocation costs more than most lines.
var idlePackers = make(chan *flate.Writer, 4)

func takePacker() *flate.Writer {
	select {
	case writer := <-idlePackers:
		return writer
	default:
	}
	writer, err := flate.NewWriterDict(nil, flate.DefaultCompression, []byte(packDictionary))
	if err != nil {
		panic(err) // the level is a constant
	}
	return writer
}

func returnPacker(writer *flate.Writer) {
	select {
	case idlePackers <- writer:
	default:
	}
}

// packable tells which types are worth compressing: flow records and hashes are not.
func packable(kind message.Type) bool {
	switch kind {
	case message.TypePing, message.TypePingAck, message.TypePingReq, message.TypeMembers,
		message.TypePlacements, message.TypeWant, message.TypeInForce, message.TypeLoad,
		message.TypeViewDelta, message.TypeLoadReport, message.TypeLoadState:
		return true
	}
	return false
}

// Pack gives the form in which a line travels: compressed where that makes it
// shorter, else the line itself.
func Pack(kind message.Type, line []byte) []byte {
	if len(line) < packThreshold || !packable(kind) {
		return line
	}
	packed := bytes.NewBuffer(make([]byte, 0, len(line)))
	packed.WriteByte(packedMark)
	writer := takePacker()
	defer returnPacker(writer)
	writer.Reset(packed)
	_, writeError := writer.Write(line)
	if err := errors.CombineErrors(writeError, writer.Close()); err != nil || packed.Len() >= len(line) {
		return line
	}
	return packed.Bytes()
}

// unpack gives a reader of the plain lines of a connection or datagram.
func unpack(data io.Reader) io.Reader {
	first := make([]byte, 1)
	if _, err := io.ReadFull(data, first); err != nil {
		return bytes.NewReader(nil)
	}
	if first[0] != packedMark {
		return io.MultiReader(bytes.NewReader(first), data)
	}
	return flate.NewReaderDict(data, []byte(packDictionary))
}
