package health

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestParseAnswer(t *testing.T) {
	cases := []struct {
		body string
		want Answer
		err  string
	}{
		{`{"healthy":true,"load":250,"age_ms":100}`, Answer{true, 250, 100 * time.Millisecond}, ""},
		{`{"healthy":false,"load":1000}`, Answer{false, 1000, 0}, ""},
		{`{"healthy":true,"load":0,"age_ms":0,"more":[1]}`, Answer{true, 0, 0}, ""},
		{`{"healthy":true,"load":0,"age_ms":9000000000000000}`, Answer{true, 0, maxAge}, ""},
		{``, Answer{}, "not a JSON object"},
		{`ok`, Answer{}, "not a JSON object"},
		{`[]`, Answer{}, "not a JSON object"},
		{`{"healthy":"yes","load":0}`, Answer{}, "not a JSON object"},
		{`{"healthy":true,"load":0.5}`, Answer{}, "not a JSON object"},
		{`{"load":0}`, Answer{}, "lacks the field healthy"},
		{`{"healthy":true}`, Answer{}, "lacks the field load"},
		{`null`, Answer{}, "lacks the field healthy"},
		{`{"healthy":true,"load":-1}`, Answer{}, "load -1"},
		{`{"healthy":true,"load":1001}`, Answer{}, "load 1001"},
		{`{"healthy":true,"load":1,"age_ms":-5}`, Answer{}, "age_ms -5"},
	}
	for _, test := range cases {
		t.Run(test.body, func(t *testing.T) {
			is := is.New(t)
			answer, err := ParseAnswer([]byte(test.body))
			is.Equal(answer, test.want)
			if test.err == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.err))
		})
	}
}

// FuzzParseAnswer checks that any input gives an error or an answer within its bounds.
func FuzzParseAnswer(f *testing.F) {
	f.Add([]byte(`{"healthy":true,"load":250,"age_ms":100}`))
	f.Add([]byte(`{"healthy":false,"load":1001}`))
	f.Add([]byte(`{"healthy":null,"load":1e3,"age_ms":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		answer, err := ParseAnswer(body)
		if err != nil {
			return
		}
		if answer.Load > maxLoad || answer.Age < 0 || answer.Age > maxAge {
			t.Fatalf("answer %+v is out of bounds", answer)
		}
	})
}

func TestProbeOverHTTP(t *testing.T) {
	const good = `{"healthy":true,"load":250,"age_ms":40}`
	routes := http.NewServeMux()
	routes.HandleFunc("/good", func(response http.ResponseWriter, _ *http.Request) {
		_, _ = response.Write([]byte(good))
	})
	routes.HandleFunc("/down", func(response http.ResponseWriter, _ *http.Request) {
		http.Error(response, good, http.StatusServiceUnavailable)
	})
	routes.Handle("/moved", http.RedirectHandler("/good", http.StatusFound))
	routes.HandleFunc("/endless", func(response http.ResponseWriter, _ *http.Request) {
		_, _ = response.Write([]byte(`{"more":"` + strings.Repeat("x", maxAnswerBytes) + `","healthy":true,"load":1}`))
	})
	server := httptest.NewServer(routes)
	defer server.Close()
	settings := DefaultSettings()
	settings.Timeout = time.Minute // the timeout is not under test
	client := newClient(&settings)
	defer client.CloseIdleConnections()

	is := is.New(t)
	answer, err := probe(context.Background(), client, server.URL+"/good")
	is.NoErr(err)
	is.Equal(answer, Answer{Healthy: true, Load: 250, Age: 40 * time.Millisecond})
	for _, path := range []string{"/down", "/moved", "/endless", "/absent", "\x00"} {
		_, err := probe(context.Background(), client, server.URL+path)
		is.True(err != nil)
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = probe(cancelled, client, server.URL+"/good")
	is.True(err != nil)
}
