package storesim

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// post sends a request and returns the status of the response, or 0 if the connection was closed
// without one. It decodes the response into result unless result is nil.
func post(t *testing.T, url, body string, result any) int {
	t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if result != nil {
		if err := json.NewDecoder(response.Body).Decode(result); err != nil {
			t.Fatal(err)
		}
	}
	return response.StatusCode
}

func startServer(t *testing.T, faults Faults) (*Server, string) {
	server := NewServer(faults, 1)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return server, listener.URL
}

// allKeys returns all keys of the store with their values.
func allKeys(t *testing.T, store *Store) []KeyValue {
	t.Helper()
	all := RangeRequest{Key: []byte{0}, RangeEnd: []byte{0}}
	response, err := store.Txn(&TxnRequest{Success: []RequestOp{{Range: &all}}})
	if err != nil {
		t.Fatal(err)
	}
	return response.Responses[0].Range.KVs
}

// The requests below contain base64: "a" is YQ==, "b" is Yg==, "x" is eA==, "y" is eQ==.

func TestCompareAndSwapHasOneWinner(t *testing.T) {
	is := is.New(t)
	_, url := startServer(t, Faults{})
	create := `{"compare":[{"target":"CREATE","key":"YQ==","createRevision":"0"}],
		"success":[{"requestPut":{"key":"YQ==","value":"eA=="}}],
		"failure":[{"request_range":{"key":"YQ=="}}]}`
	var first, second TxnResponse
	is.Equal(post(t, url+"/v3/kv/txn", create, &first), 200)
	is.Equal(post(t, url+"/v3/kv/txn", create, &second), 200)
	is.True(first.Succeeded)
	is.True(!second.Succeeded)
	is.Equal(string(second.Responses[0].Range.KVs[0].Value), "x")
	is.Equal(second.Responses[0].Range.KVs[0].ModRevision, first.Header.Revision)
}

func TestRangeReturnsSortedKeysUpToLimit(t *testing.T) {
	is := is.New(t)
	_, url := startServer(t, Faults{})
	is.Equal(post(t, url+"/v3/kv/put", `{"key":"Yg==","value":"eQ=="}`, nil), 200)
	is.Equal(post(t, url+"/v3/kv/put", `{"key":"YQ==","value":"eA=="}`, nil), 200)
	var all RangeResponse
	is.Equal(post(t, url+"/v3/kv/range", `{"key":"YQ==","range_end":"AA==","limit":1}`, &all), 200)
	is.Equal(len(all.KVs), 1)
	is.Equal(string(all.KVs[0].Key), "a")
	is.Equal(all.Count, Int64(2))
	is.True(all.More)
}

func TestWriteWithLostResponseTakesEffect(t *testing.T) {
	is := is.New(t)
	server, url := startServer(t, Faults{LostResponses: 1000})
	is.Equal(post(t, url+"/v3/kv/put", `{"key":"YQ==","value":"eA=="}`, nil), 0)
	is.Equal(string(allKeys(t, server.store)[0].Value), "x")
}

func TestRequestsInOutageAndAboveRateLimitHaveNoEffect(t *testing.T) {
	is := is.New(t)
	server, url := startServer(t, Faults{Outage: true})
	is.Equal(post(t, url+"/v3/kv/put", `{"key":"YQ==","value":"eA=="}`, nil), 0)
	server.SetFaults(Faults{RatePerSecond: 1})
	is.Equal(post(t, url+"/v3/kv/range", `{"key":"YQ=="}`, nil), 200)
	is.Equal(post(t, url+"/v3/kv/put", `{"key":"YQ==","value":"eA=="}`, nil), 429)
	is.Equal(len(allKeys(t, server.store)), 0)
}

func nextMessage(t *testing.T, stream *bufio.Reader) WatchResponse {
	t.Helper()
	line, err := stream.ReadBytes('\n')
	if err != nil {
		t.Fatal(err)
	}
	var message streamResult[WatchResponse]
	if err := json.NewDecoder(bytes.NewReader(line)).Decode(&message); err != nil {
		t.Fatal(err)
	}
	return message.Result
}

func TestWatchResumesAndReportsCompaction(t *testing.T) {
	is := is.New(t)
	server, url := startServer(t, Faults{})
	for range 3 {
		is.Equal(post(t, url+"/v3/kv/put", `{"key":"YQ==","value":"eA=="}`, nil), 200)
	}
	response, err := http.Post(url+"/v3/watch", "", strings.NewReader(`{"create_request":{"key":"YQ==","start_revision":"3"}}`))
	is.NoErr(err)
	defer response.Body.Close()
	stream := bufio.NewReader(response.Body)
	is.True(nextMessage(t, stream).Created)
	is.Equal(len(nextMessage(t, stream).Events), 2) // revisions 3 and 4
	is.Equal(post(t, url+"/v3/kv/deleterange", `{"key":"YQ=="}`, nil), 200)
	is.Equal(nextMessage(t, stream).Events[0].Type, "DELETE")
	is.NoErr(server.store.Compact(4))
	late, err := http.Post(url+"/v3/watch", "", strings.NewReader(`{"create_request":{"key":"YQ==","start_revision":"2"}}`))
	is.NoErr(err)
	defer late.Body.Close()
	lateStream := bufio.NewReader(late.Body)
	is.True(nextMessage(t, lateStream).Created)
	cancelled := nextMessage(t, lateStream)
	is.True(cancelled.Canceled)
	is.Equal(cancelled.CompactRevision, Int64(4))
}

func TestLeaseExpiryDeletesKeysUnlessRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := NewStore()
		id := store.Grant(LeaseRequest{TTL: 2}).ID
		put := PutRequest{Key: []byte("a"), Value: []byte("x"), Lease: id}
		_, err := store.Txn(&TxnRequest{Success: []RequestOp{{Put: &put}}})
		is.NoErr(err)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(store.KeepAlive(int64(id)).TTL, Int64(2))
		time.Sleep(1500 * time.Millisecond)
		is.Equal(len(allKeys(t, store)), 1)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(len(allKeys(t, store)), 0)
		is.Equal(store.KeepAlive(int64(id)).TTL, Int64(0))
	})
}

func TestMachineListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var list machineList
		list.post(Machine{Node: "b1", Zone: "z1"})
		time.Sleep(time.Second)
		list.post(Machine{Node: "b1", Deleted: true})
		is.Equal(len(list.asOf(time.Now().Add(-500*time.Millisecond))), 1)
		is.Equal(len(list.asOf(time.Now())), 0)
	})
}
