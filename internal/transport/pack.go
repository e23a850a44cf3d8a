package transport

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/message"
)

// compressedMarker is the first byte of a datagram or connection whose remainder is compressed (RFC
// 1951). An uncompressed line begins with a brace.
const compressedMarker = 0x01

// minPackBytes is the minimum size of a line to compress. Compression of shorter lines saves too
// little.
const minPackBytes = 256

// packDictionary is the preset dictionary of the compression. It contains the text that most
// messages have in common, with the most frequent parts last. Both sides must use the same
// dictionary.
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

// idlePackers holds a few writers for reuse. Each allocates about a megabyte of tables, which costs
// more than compressing most lines.
var idlePackers = make(chan *flate.Writer, 4)

func acquirePacker() *flate.Writer {
	select {
	case writer := <-idlePackers:
		return writer
	default:
	}
	writer, err := flate.NewWriterDict(nil, flate.DefaultCompression, []byte(packDictionary))
	if err != nil {
		panic(err) // impossible, since the level is a valid constant
	}
	return writer
}

func releasePacker(writer *flate.Writer) {
	select {
	case idlePackers <- writer:
	default:
	}
}

// packable reports whether compression of a message type is worthwhile. Flow records and hashes do
// not compress.
func packable(kind message.Type) bool {
	switch kind {
	case message.TypePing, message.TypePingAck, message.TypePingReq, message.TypeMembers,
		message.TypePlacements, message.TypeVersionList, message.TypeInForce, message.TypeLoad,
		message.TypeViewDelta, message.TypeLoadReport, message.TypeLoadState:
		return true
	}
	return false
}

// Pack returns the form in which a line is sent: compressed if that is shorter, otherwise the line
// itself.
func Pack(kind message.Type, line []byte) []byte {
	if len(line) < minPackBytes || !packable(kind) {
		return line
	}
	packed := bytes.NewBuffer(make([]byte, 0, len(line)))
	packed.WriteByte(compressedMarker)
	writer := acquirePacker()
	defer releasePacker(writer)
	writer.Reset(packed)
	_, writeError := writer.Write(line)
	if err := errors.CombineErrors(writeError, writer.Close()); err != nil || packed.Len() >= len(line) {
		return line
	}
	return packed.Bytes()
}

// unpack returns a reader of the uncompressed lines of a connection or datagram.
func unpack(data io.Reader) io.Reader {
	first := make([]byte, 1)
	if _, err := io.ReadFull(data, first); err != nil {
		return bytes.NewReader(nil)
	}
	if first[0] != compressedMarker {
		return io.MultiReader(bytes.NewReader(first), data)
	}
	return flate.NewReaderDict(data, []byte(packDictionary))
}
