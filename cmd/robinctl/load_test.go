package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// newFakeNode starts a fake balancer that serves the given body for every request, and returns its
// URL.
func newFakeNode(t *testing.T, status int, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/load" {
			status = http.StatusNotFound
		}
		response.WriteHeader(status)
		_, _ = io.WriteString(response, body)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

const overloadedReport = `{"node":"n-1","zone":"za","services":[{"service":"web","known":true,"age_ms":120,"pressure":1.2,"refused_total":9,
"zones":[{"zone":"za","capacity":10,"part":0.6,"load":1.5,"answers":80,"demand":[{"priority":0,"begun":8,"refused":0.5},{"priority":1,"begun":3,"refused":1}]},
{"zone":"zb","capacity":8,"part":0.4,"demand":[{"priority":0,"begun":2,"refused":0}]}],
"levels":[{"priority":0,"admitted":1,"waiting":2},{"priority":1,"admitted":0.4,"waiting":0}]},
{"service":"idle","known":false,"pressure":0,"refused_total":0,"zones":[{"zone":"za","capacity":4,"part":0.98}],"levels":[]}]}`

func TestLoadPrintsServiceZoneAndPriority(t *testing.T) {
	is := is.New(t)
	url := newFakeNode(t, http.StatusOK, overloadedReport)
	got := robinctl(t, "", "load", strings.TrimPrefix(url, "http://"))
	is.Equal(got.stderr, "")
	is.Equal(got.code, exitOK)
	is.Equal(got.stdout, ""+
		"SERVICE  ZONE  PRIORITY  ASKED  CAPACITY  ROOM  LOAD  HOME  ADMITTED  WAITING  REFUSED  AGE\n"+
		"idle     za    0         -      4.0       -     -     0.98  1.00      0        -        -\n"+
		"web      za    0         8.5    10.0      -2.5  1.50  0.60  1.00      2        0.5      120 ms\n"+
		"web      za    1         4.0    10.0      -2.5  1.50  0.60  0.40      0        1.0      120 ms\n"+
		"web      zb    0         2.0    8.0       6.0   -     -     -         -        0.0      120 ms\n"+
		"web      zb    1         0.0    8.0       6.0   -     -     -         -        0.0      120 ms\n")
	got = robinctl(t, "", "-o", "json", "load", url, "--service", "web", "--zone", "zb")
	is.Equal(got.code, exitOK)
	is.Equal(strings.Count(got.stdout, `"service": "web"`), 2)
	is.True(strings.Contains(got.stdout, `"room": 6`))
}

func TestLoadReportsErrors(t *testing.T) {
	is := is.New(t)
	valid := newFakeNode(t, http.StatusOK, overloadedReport)
	for _, test := range []struct {
		arguments  []string
		code       int
		wantStderr string
		wantStdout string
	}{
		{[]string{}, exitBadInput, "admin-address", ""},
		{[]string{"front-1"}, exitBadInput, `admin address "front-1": want IP:PORT`, ""},
		{[]string{"ftp://127.0.0.1:1"}, exitBadInput, `admin address "ftp://127.0.0.1:1"`, ""},
		{[]string{valid, "--service", "wep"}, exitBadInput, `service "wep"`, ""},
		{[]string{"127.0.0.1:1"}, exitUnavailable, "1 of 1 balancers; the first is 127.0.0.1:1", ""},
		{[]string{valid, newFakeNode(t, http.StatusNotFound, "")}, exitUnavailable, "status 404", "web"},
		{[]string{newFakeNode(t, http.StatusOK, "<html>")}, exitUnavailable, "decode the response", ""},
		{[]string{newFakeNode(t, http.StatusOK, `{"node":"","zone":"za"}`)}, exitUnavailable, `node ""`, ""},
	} {
		got := robinctl(t, "", append([]string{"load"}, test.arguments...)...)
		is.Equal(got.code, test.code)
		is.True(strings.Contains(got.stderr, test.wantStderr)) // the message contains the invalid value
		is.True(strings.Contains(got.stdout, test.wantStdout))
	}
}
