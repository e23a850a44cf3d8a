package health

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/message"
)

// fakeHosts replaces the network: it answers by the URL's path, and never answers an unknown path.
type fakeHosts struct {
	lock     sync.Mutex
	answers  map[string]string
	requests map[string]int
}

func (hosts *fakeHosts) RoundTrip(request *http.Request) (*http.Response, error) {
	hosts.lock.Lock()
	answer, found := hosts.answers[request.URL.Path]
	hosts.requests[request.URL.Path]++
	hosts.lock.Unlock()
	if !found {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	return &http.Response{
		StatusCode: http.StatusOK,
		Body:       io.NopCloser(strings.NewReader(answer)),
		Request:    request,
	}, nil
}

func TestProber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := &fakeHosts{
			answers:  map[string]string{"/host-0": `{"healthy":true,"load":70,"age_ms":1500}`},
			requests: map[string]int{},
		}
		settings := DefaultSettings()
		prober, err := NewProber(Options{
			Settings:      settings,
			Client:        &http.Client{Transport: network},
			OpeningCounts: func() []OpeningCounts { return []OpeningCounts{{Backend: "host-1", Openings: 5, Unanswered: 5}} },
		})
		is.NoErr(err)
		prober.SetTargets(testTargets(2)) // host-1 never answers
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { prober.Run(ctx); close(ended) }()

		const intervals = 10
		time.Sleep(intervals * settings.Interval)
		synctest.Wait()
		loads := prober.Report()
		is.Equal(len(loads), 2)
		is.True(loads[0].AgeMillis >= 1500)
		is.True(loads[0].AgeMillis <= 1500+uint32(settings.Interval.Milliseconds()))
		loads[0].AgeMillis = 0
		loads[1].AgeMillis = 0
		is.Equal(loads, []message.BackendLoad{
			{Backend: "host-0", Healthy: true, Load: 70},
			{Backend: "host-1", Healthy: false, Openings: 5, UnansweredOpenings: 5},
		})

		cancel()
		<-ended
		is.True(network.requests["/host-0"] >= intervals-1)
		is.True(network.requests["/host-1"] >= intervals-1)
		counters := prober.Counters()
		is.Equal(counters.Begun, uint64(network.requests["/host-0"]+network.requests["/host-1"]))
		is.Equal(counters.Failed, uint64(network.requests["/host-1"]))
	})
}
