package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lab/storesim"
	"robinpulley.example/robinpulley/internal/operator"
)

// result is the exit code and output of one command.
type result struct {
	code           int
	stdout, stderr string
}

// robinctl runs one command with the store at the given URL.
func robinctl(t *testing.T, url string, arguments ...string) result {
	t.Helper()
	return robinctlUntil(t.Context(), t, url, arguments...)
}

// robinctlUntil is like robinctl, and cancels the command at the end of the context.
func robinctlUntil(ctx context.Context, t *testing.T, url string, arguments ...string) result {
	t.Helper()
	var stdout, stderr bytes.Buffer
	all := append([]string{"--store", url, "--as", "ana@desk-7", "--rate", "1000"}, arguments...)
	code := run(ctx, all, &stdout, &stderr)
	return result{code, stdout.String(), stderr.String()}
}

func TestExitCodes(t *testing.T) {
	is := is.New(t)
	server := storesim.NewServer(storesim.Faults{}, 1)
	listener := httptest.NewServer(server)
	defer listener.Close()
	file := filepath.Join(t.TempDir(), "objects.yaml")
	is.NoErr(os.WriteFile(file, []byte("services:\n- {name: s, selector: a=b, frontends: [{address: \"192.0.2.9:1\", protocol: udp}]}\n"), 0o600))
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	is.NoErr(os.WriteFile(bad, []byte("services:\n- {name: S}\n"), 0o600))
	for _, test := range []struct {
		line   string // arguments, separated by '|'
		code   int
		output string // part of the output
	}{
		{"--help", exitOK, "Usage: robinctl"},
		{"backend|create|web-1|--host|10.0.1.1:6081|--zone|a|--label|app=wallet", exitOK, "backend web-1  created  revision 2"},
		{"backend|create|web-1|--host|10.0.1.1:6081|--zone|a", exitConflict, "exists already"},
		{"backend|create|web-2|--host|x|--zone|a", exitBadInput, `host "x"`},
		{"backend|set|web-1|--weight|0", exitBadInput, "use drain"},
		{"backend|set|web-1|--weight|70000", exitBadInput, "70000"},
		{"backend|set|web-1|--weight|50", exitOK, "changed"},
		{"backend|list", exitOK, "web-1  10.0.1.1:6081  a     50      false  app=wallet"},
		{"backend|get|nope", exitBadInput, "not found"},
		{"service|create|wallet|--frontend|tcp://192.0.2.1:443|--selector|app=wallet", exitOK, "created"},
		{"service|create|other|--frontend|tcp://192.0.2.1:443|--selector|app=x", exitConflict, `belongs to service "wallet"`},
		{"service|create|other|--frontend|icmp://192.0.2.1:443|--selector|app=x", exitBadInput, "icmp"},
		{"selector|wallet|app in ()", exitBadInput, "position 9"},
		{"selector|wallet|app in (wallet, x)", exitOK, "changed"},
		{"label|web-1|tier=a", exitOK, "changed"},
		{"label|web-1|tier-", exitOK, "changed"},
		{"drain|web-1", exitOK, "changed"},
		{"undrain|web-1", exitOK, "changed"},
		{"zone|evacuate|a", exitOK, "zone a  created"},
		{"zone|evacuate|a", exitOK, "zone a  unchanged"},
		{"status", exitOK, "evacuated zones: a"},
		{"zone|restore|a", exitOK, "zone a  deleted"},
		{"zone|restore|a", exitBadInput, `zone "a": not found`},
		{"zone|evacuate|Not A Zone", exitBadInput, `"Not A Zone"`},
		{"apply|-f|" + file, exitOK, "service s  created"},
		{"apply|-f|" + bad, exitBadInput, "selector"},
		{"apply|-f|/no/such/file", exitBadInput, "no such file"},
		{"export", exitOK, "selector: app in (wallet, x)"},
		{"status", exitOK, "unplaced"},
		{"wait|--revision|1|--service|s", exitBadInput, "revision"},
		{"frobnicate", exitBadInput, "frobnicate"},
		{"service|delete|s", exitOK, "deleted"},
	} {
		got := robinctl(t, listener.URL, strings.Split(test.line, "|")...)
		if got.code != test.code || !strings.Contains(got.stdout+got.stderr, test.output) {
			t.Errorf("%s: exit code %d, want %d\n%s%s", test.line, got.code, test.code, got.stdout, got.stderr)
		}
	}
}

// cancelAt is a handler that cancels a context when the nth request to a path arrives, and then
// serves the request.
type cancelAt struct {
	http.Handler
	path   string
	number int32
	cancel context.CancelFunc
	seen   atomic.Int32
}

func (handler *cancelAt) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	if request.URL.Path == handler.path && handler.seen.Add(1) == handler.number {
		handler.cancel()
	}
	handler.Handler.ServeHTTP(response, request)
}

// TestExitCodesAtTimeout cancels each command at a given request.
func TestExitCodesAtTimeout(t *testing.T) {
	for _, test := range []struct {
		line   string
		faults storesim.Faults
		path   string
		number int32
		code   int
		output string
	}{
		{"wait", storesim.Faults{}, "/v3/watch", 1, exitWaitTimeout, "no zone"},
		{"drain web-1 --wait", storesim.Faults{}, "/v3/watch", 1, exitWaitTimeout, "backend web-1  changed"},
		{"drain web-1", storesim.Faults{LostResponses: 1000}, "/v3/kv/txn", 2, exitUnknown, "outcome of the write unknown"},
		{"drain web-1", storesim.Faults{Outage: true}, "/v3/kv/range", 2, exitUnavailable, "store unavailable"},
	} {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		server := storesim.NewServer(storesim.Faults{}, 1)
		listener := httptest.NewServer(&cancelAt{Handler: server, path: test.path, number: test.number, cancel: cancel})
		create := storesim.PutRequest{
			Key:   []byte("/robinpulley/backends/web-1"),
			Value: []byte(`{"name":"web-1","host":"10.0.1.1:6081","zone":"a","labels":{},"write_id":"x"}`),
		}
		_, err := server.Store().Txn(&storesim.TxnRequest{Success: []storesim.RequestOp{{Put: &create}}})
		is.NoErr(err)
		server.SetFaults(test.faults)
		got := robinctlUntil(ctx, t, listener.URL, strings.Fields(test.line)...)
		if got.code != test.code || !strings.Contains(got.stdout+got.stderr, test.output) {
			t.Errorf("%s: exit code %d, want %d\n%s%s", test.line, got.code, test.code, got.stdout, got.stderr)
		}
		cancel()
		listener.Close()
	}
}

func TestJSONOutput(t *testing.T) {
	is := is.New(t)
	listener := httptest.NewServer(storesim.NewServer(storesim.Faults{}, 1))
	defer listener.Close()
	got := robinctl(t, listener.URL, "-o", "json", "backend", "create", "web-1", "--host", "10.0.1.1:6081", "--zone", "a")
	is.Equal(got.code, exitOK)
	var changes []operator.Change
	is.NoErr(json.Unmarshal([]byte(got.stdout), &changes))
	is.Equal(changes, []operator.Change{{Kind: "backend", Name: "web-1", Action: "created", Revision: 2}})
	got = robinctl(t, listener.URL, "-o", "json", "drain", "web-2")
	var failed failure
	is.NoErr(json.Unmarshal([]byte(got.stderr), &failed))
	is.Equal(failed.ExitCode, exitBadInput)
	var status operator.Status
	got = robinctl(t, listener.URL, "-o", "json", "status")
	is.NoErr(json.Unmarshal([]byte(got.stdout), &status))
	is.Equal(status.LastChange, int64(2))
}

func TestRateLimitedRequestsAreRetried(t *testing.T) {
	is := is.New(t)
	server := storesim.NewServer(storesim.Faults{RatePerSecond: 5}, 1)
	listener := httptest.NewServer(server)
	defer listener.Close()
	for _, name := range []string{"web-1", "web-2", "web-3", "web-4"} {
		got := robinctl(t, listener.URL, "backend", "create", name, "--host", "10.0.1.1:6081", "--zone", "a")
		is.Equal(got.code, exitOK)
	}
}

func TestTrace(t *testing.T) {
	is := is.New(t)
	log := filepath.Join(t.TempDir(), "a.log")
	line := `{"node":"a","event":"opening","flow":"1.2.3.4:5>6.7.8.9:443","host":"10.0.0.1:80","copies":1,"version":26,"time":"2026-07-09T15:08:44.100Z"}`
	is.NoErr(os.WriteFile(log, []byte(line+"\n"), 0o600))
	for _, test := range []struct {
		arguments []string
		code      int
		output    string // part of the output
	}{
		{[]string{"trace", "1.2.3.4:5>6.7.8.9:443", log}, exitOK, "15:08:44.100  a     opening  1       10.0.0.1:80          26"},
		{[]string{"-o", "json", "trace", "1.2.3.4:5>6.7.8.9:443", log}, exitOK, `"host": "10.0.0.1:80"`},
		{[]string{"trace", "1.2.3.4:6>6.7.8.9:443", log}, exitBadInput, `flow "1.2.3.4:6>6.7.8.9:443" in 1 lines of 1 logs`},
		{[]string{"trace", "1.2.3.4:5>6.7.8.9:443", log + ".none"}, exitBadInput, "a.log.none"},
		{[]string{"trace", "1.2.3.4:5>6.7.8.9:443"}, exitBadInput, "<logs>"},
	} {
		var stdout, stderr bytes.Buffer
		is.Equal(run(t.Context(), test.arguments, &stdout, &stderr), test.code) // without --store
		is.True(strings.Contains(stdout.String()+stderr.String(), test.output))
	}
}
