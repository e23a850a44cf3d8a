package machines_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/machines"
)

func TestFetch(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		want   string // part of the error message; empty: no error
	}{
		{"list", http.StatusOK, `[{"node":"a","zone":"za","control":"127.0.0.1:1","data":"127.0.0.1:2","leaving":true}]`, ""},
		{"empty", http.StatusOK, `[]`, ""},
		{"outage", http.StatusServiceUnavailable, ``, `503`},
		{"not JSON", http.StatusOK, `<html>`, `invalid character`},
		{"no node", http.StatusOK, `[{}]`, `entry 0 (""): node is missing`},
		{"no zone", http.StatusOK, `[{"node":"a"}]`, `entry 0 ("a"): zone is missing`},
		{"no control", http.StatusOK, `[{"node":"a","zone":"za"}]`, `entry 0 ("a"): control: "" is not an IP address and port`},
		{"no data", http.StatusOK, `[{"node":"a","zone":"za","control":"127.0.0.1:1"}]`, `entry 0 ("a"): data: "" is not an IP address and port`},
		{"bad address", http.StatusOK, `[{"node":"a","zone":"za","control":"here"}]`, `entry 0 ("a"): control: "here" is not an IP address and port`},
		{"too long", http.StatusOK, `[` + strings.Repeat(" ", 4_000_001) + `]`, `more than 4000000 bytes`},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
				response.WriteHeader(test.status)
				_, _ = response.Write([]byte(test.body))
			}))
			defer server.Close()
			list, err := machines.Fetch(t.Context(), server.Client(), server.URL)
			if test.want == "" {
				is.NoErr(err)
				is.Equal(len(list), strings.Count(test.body, "node"))
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
}
