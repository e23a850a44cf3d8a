package message_test

import (
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/view/viewtest"
)

// samples returns at least one message of each type.
func samples() []message.Message {
	return slices.Concat(clusterSamples(), viewSamples(), loadSamples())
}

// viewSamples returns messages about the view, with few back ends, which are encoded as JSON, and with
// more, which are encoded in columns.
func viewSamples() []message.Message {
	few := view.BackendEntries{
		{Revision: 8, Backend: viewtest.Backend("i-1", lb.BackendActive)},
		{Revision: 9, Deleted: true, DeletedMillis: 40, ExistedMillis: 1700, DuringOutage: true, Backend: viewtest.Backend("i-2", lb.BackendDraining)},
	}
	watcher := message.WatcherStatus{Watcher: "a-1", WatcherAgeMillis: 20, Listing: true}
	return []message.Message{
		message.ViewDigest{Revision: 9, MinCurrentRevision: 8, AgeMillis: 300, WatcherStatus: watcher, Route: message.Route{ForZone: true}},
		message.ViewRequest{After: 7, PartStart: 3},
		message.ViewDelta{AgeMillis: 300, WatcherStatus: watcher, Route: message.Route{Origin: "a-1"}, Delta: view.Delta{
			After: 7, Revision: 9, Unseen: &view.Span{From: 7, To: 9}, Part: &view.Part{From: 1, To: 4}, Version: 2, ConfigurationRevision: 3, Backends: few,
			Routes:          []view.RouteEntry{{Revision: 3, Route: viewtest.Route(443, "web")}},
			UnknownRemovals: []view.RemovalEntry{{Revision: 8, Name: "i-3"}},
			Evacuations:     []view.EvacuationEntry{{Revision: 8, Zone: "a"}},
		}},
		message.ViewDelta{Unverified: true, Delta: view.Delta{Revision: 9, AllRoutes: true, Backends: slices.Repeat(few, 4)}},
	}
}

// loadSamples returns messages about the load and the outcomes of requests.
func loadSamples() []message.Message {
	services := []message.ServiceWork{{
		Service: "web", Solicited: true, Levels: []message.LevelWork{{Priority: 1, Begun: 20, Refused: 3}},
		Answers: []message.ZoneAnswers{{Zone: "a", Count: 5, LogLoadSum: -7, Rejected: 1}},
	}}
	return []message.Message{
		message.LoadReport{Services: services},
		message.LoadState{Sender: "a-1", Sequence: 4, Zones: []message.ZoneWork{{Zone: "a", AgeMillis: 30, Services: services}}},
		message.OutcomeReport{WholeZone: true, Backends: []message.BackendOutcomes{{Identity: 1<<64 - 1, Bad: 2, Good: 3, NewReporters: 1}}},
		message.OutcomeVerdict{Sender: "a-1", Sequence: 4, Watched: []uint64{1}, Ejected: []uint64{1<<64 - 1}},
	}
}

// clusterSamples returns the messages of membership, placements and flows.
func clusterSamples() []message.Message {
	updates := []message.MemberUpdate{
		{Node: "a-1", Zone: "a", Control: "127.0.0.1:4000", Data: "127.0.0.1:4001", State: message.MemberAlive, Incarnation: 1 << 62},
		{Node: "b-1", State: message.MemberDead, Incarnation: 3},
	}
	versions := []message.ServiceVersion{{Service: "wallet-core", Version: 1<<64 - 1}}
	placement := lb.Placement{
		Service: "wallet-core", Version: 9, WriteID: "w", NextBackendID: 2,
		Frontends:   []lb.Frontend{{Address: netip.MustParseAddrPort("192.0.2.1:443"), Protocol: lb.TCP}},
		Backends:    []lb.PlacedBackend{{ID: 1, Name: "w-1", Host: netip.MustParseAddrPort("127.0.0.1:6081"), State: lb.BackendActive}},
		Generations: []lb.Generation{{Version: 9, Backends: []lb.WeightedBackend{{ID: 1, Weight: 100}}}},
		History:     []byte{1, 2, 3},
	}
	flows := []message.FlowRecord{{Flow: 1<<64 - 1, Backend: 65535, OpeningID: 1<<32 - 1}, {Flow: 7, Backend: 1}}
	return []message.Message{
		message.Pins{Service: "s", Confirm: true, Flows: flows},
		message.Records{Service: "s", Sequence: 4, Flows: flows},
		message.RecordsAck{Sequence: 4},
		message.Clean{Service: "s", Version: 2, Buckets: []uint16{0, lb.BucketCount - 1}},
		message.Ping{Sequence: 1, Incarnation: 4, Updates: updates, Digest: 1<<64 - 1, View: 2, RequestMembers: true},
		message.PingAck{Sequence: 1, Incarnation: 4, Updates: updates, Digest: 1, View: 2},
		message.Members{Updates: updates},
		message.PingReq{Sequence: 1, Target: "b-1", Updates: updates},
		message.Digest{Groups: message.GroupHashes{0, 1<<64 - 1}, All: 1},
		message.VersionList{Groups: []uint16{3}, Versions: versions, Reply: true},
		message.Placements{Placements: []lb.Placement{placement}},
		message.InForce{Zone: "a", Digest: 1, Nodes: 4, Behind: 1, ConfigRevision: 6, Versions: versions},
		message.OpenFlows{Request: true},
		message.OpenFlows{Flows: []message.OpenFlow{{Flow: 1<<64 - 1, OpeningID: 1<<32 - 1, Token: 1<<32 - 1, Acknowledged: 1<<32 - 1}, {Flow: 7, Token: 9}}},
		message.Load{Zone: "a", Backends: []message.BackendLoad{{Backend: "w-1", Healthy: true, Load: 500, AgeMillis: 20}}},
	}
}

func TestDecodeReturnsTheEncodedMessage(t *testing.T) {
	for _, sent := range samples() {
		t.Run(string(sent.MessageType()), func(t *testing.T) {
			is := is.New(t)
			line, err := message.Encode([]byte("before"), "a-1", sent)
			is.NoErr(err)
			is.Equal(string(line[:6]), "before")
			is.Equal(strings.Count(string(line), "\n"), 1)
			from, received, err := message.Decode(line[6:])
			is.NoErr(err)
			is.Equal(from, lb.NodeID("a-1"))
			is.Equal(received, sent)
		})
	}
}

func TestDecodeRejectsInvalidLines(t *testing.T) {
	update := func(fields string) string {
		return `{"type":"ping","from":"a","body":{"q":1,"u":[{` + fields + `}]}}`
	}
	cases := []struct{ name, line, field string }{
		{"empty", ``, "line"},
		{"not an object", `[1]`, "line"},
		{"truncated JSON", `{"type":`, "line"},
		{"two JSON values", `{"type":"records_ack","from":"a","body":{"sequence":1}} {}`, "line"},
		{"unknown type", `{"type":"vote","from":"a","body":{}}`, "type"},
		{"unknown envelope field", `{"type":"ping","from":"a","to":"b","body":{}}`, "line"},
		{"unknown field", `{"type":"ping","from":"a","body":{"term":1}}`, "line"},
		{"no body", `{"type":"ping","from":"a"}`, "line"},
		{"null body", `{"type":"ping","from":"a","body":null}`, "line"},
		{"no sender", `{"type":"ping","from":"","body":{}}`, "from"},
		{"sender with space", `{"type":"ping","from":"a b","body":{}}`, "from"},
		{"negative sequence", `{"type":"ping","from":"a","body":{"q":-1}}`, "q"},
		{"unknown state", update(`"n":"b","s":"asleep"`), "u[0].s"},
		{"alive without address", update(`"n":"b","z":"z","s":"alive"`), "u[0].c"},
		{"host name as address", update(`"n":"b","z":"z","c":"host:1","d":"127.0.0.1:1","s":"alive"`), "u[0].c"},
		{"port zero", update(`"n":"b","z":"z","c":"127.0.0.1:1","d":"127.0.0.1:0","s":"alive"`), "u[0].d"},
		{"bucket out of range", `{"type":"clean","from":"a","body":{"service":"s","version":1,"buckets":[1021]}}`, "buckets[0]"},
		{"load out of range", `{"type":"load","from":"a","body":{"zone":"z","backends":[{"b":"w","l":65536}]}}`, "backends.l"},
		{"flow record too short", `{"type":"pins","from":"a","body":{"service":"s","flows":["AAAA"]}}`, "line"},
		{"flow record not base64", `{"type":"pins","from":"a","body":{"service":"s","flows":["!!!!!!!!!!!!!!"]}}`, "line"},
		{"group hashes truncated", `{"type":"digest","from":"a","body":{"groups":"AAAA","all":1}}`, "line"},
		{"more behind than nodes", `{"type":"in_force","from":"a","body":{"zone":"z","nodes":1,"behind":2}}`, "behind"},
		{"group out of range", `{"type":"want","from":"a","body":{"groups":[256]}}`, "groups[0]"},
		{"service without name", `{"type":"placements","from":"a","body":{"placements":[{}]}}`, "placements[0].service"},
		{"too long", strings.Repeat(" ", message.MaxLineBytes+1), "line"},
		{"too many updates", update(strings.Repeat(`"n":"b","s":"dead"},{`, message.MaxUpdates) + `"n":"b","s":"dead"`), "u"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := message.Decode([]byte(testCase.line))
			var fieldError *message.FieldError
			is.True(errors.As(err, &fieldError)) // every error is a *FieldError
			is.Equal(fieldError.Field, testCase.field)
			is.True(len(fieldError.Value) <= 64)
		})
	}
}

func TestEncodeRejectsInvalidMessages(t *testing.T) {
	is := is.New(t)
	_, err := message.Encode(nil, "a", &message.Ping{})
	is.True(err != nil) // a pointer to a message
	_, err = message.Encode(nil, "a", nil)
	is.True(err != nil)
	_, err = message.Encode(nil, `a"`, message.Ping{})
	is.True(err != nil)
	huge := lb.Placement{Service: "s", History: make([]byte, message.MaxLineBytes)}
	dst, err := message.Encode([]byte("kept"), "a", message.Placements{Placements: []lb.Placement{huge}})
	is.True(err != nil)
	is.Equal(string(dst), "kept")
}

// TestSamplesHaveAllTypes checks that no type of message is left out of the tests of the encoding.
func TestSamplesHaveAllTypes(t *testing.T) {
	sampled := make(map[message.Type]bool)
	for _, sample := range samples() {
		sampled[sample.MessageType()] = true
	}
	for _, kind := range message.Types() {
		if !sampled[kind] {
			t.Errorf("there is no sample of type %q", kind)
		}
	}
}

// FuzzDecode checks that every message that Decode accepts can be encoded, and that decoding and
// encoding it again produces the same line.
func FuzzDecode(f *testing.F) {
	for _, sample := range samples() {
		line, err := message.Encode(nil, "a-1", sample)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		from, decoded, err := message.Decode(line)
		if err != nil {
			return
		}
		first, err := message.Encode(nil, from, decoded)
		if err != nil {
			t.Fatalf("Decode accepted %q, but Encode returned %v", line, err)
		}
		from, decoded, err = message.Decode(first)
		if err != nil {
			t.Fatalf("Decode rejected the encoded line %q: %v", first, err)
		}
		second, err := message.Encode(nil, from, decoded)
		if err != nil || string(first) != string(second) {
			t.Fatalf("encoded line %q became %q after a second round trip (%v)", first, second, err)
		}
	})
}

// BenchmarkRecords reports the number of bytes on the wire per flow record.
func BenchmarkRecords(b *testing.B) {
	flows := make([]message.FlowRecord, 48)
	for i := range flows {
		flows[i] = message.FlowRecord{Flow: lb.FlowID(uint64(i+1) * 0x9e3779b97f4a7c15), Backend: 12, OpeningID: uint32(i+1) * 0x9e3779b9}
	}
	var line []byte
	for b.Loop() {
		line, _ = message.Encode(line[:0], "a-1", message.Records{Service: "wallet-core", Sequence: 1, Flows: flows})
		if _, _, err := message.Decode(line); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(line))/float64(len(flows)), "bytes/record")
}
