package health

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/limitio"
)

// maxAnswerBytes bounds the bytes that are read of an answer.
const maxAnswerBytes = 4096

// maxLoad is the load of a full host, in thousandths of its capacity.
const maxLoad = 1000

// wireAnswer is the JSON answer of a host's probe endpoint. The fields are pointers to distinguish
// a missing field from a zero value.
type wireAnswer struct {
	Healthy   *bool  `json:"healthy"`
	Load      *int64 `json:"load"`   // thousandths of capacity, 0..1000
	AgeMillis *int64 `json:"age_ms"` // age of the values; zero if absent
}

// newClient returns a client that connects only to the address in the URL: it uses no proxy and
// follows no redirect.
func newClient(settings *Settings) *http.Client {
	return &http.Client{
		Timeout: settings.Timeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     2*settings.Interval + settings.Timeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// probe requests the health and load of a back end.
func probe(ctx context.Context, client *http.Client, url string) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Answer{}, errors.Wrapf(err, "probe %s", url)
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, errors.Wrapf(err, "probe %s", url)
	}
	defer func() { _ = response.Body.Close() }() // the body was read, so an error here loses nothing
	if response.StatusCode != http.StatusOK {
		return Answer{}, errors.Newf("probe %s: status %d, want %d", url, response.StatusCode, http.StatusOK)
	}
	body, err := limitio.ReadAll(response.Body, maxAnswerBytes)
	if err != nil {
		return Answer{}, errors.Wrapf(err, "probe %s: read the answer", url)
	}
	answer, err := ParseAnswer(body)
	return answer, errors.Wrapf(err, "probe %s", url)
}

// ParseAnswer parses the JSON answer of a probe endpoint, such as
// {"healthy":true,"load":250,"age_ms":100}. Unknown fields are ignored, so that hosts may send
// additional ones.
func ParseAnswer(body []byte) (Answer, error) {
	var wire wireAnswer
	if err := json.Unmarshal(body, &wire); err != nil {
		return Answer{}, errors.Wrap(err, "answer is not a JSON object with health and load")
	}
	if wire.Healthy == nil {
		return Answer{}, errors.New("answer lacks the field healthy")
	}
	if wire.Load == nil {
		return Answer{}, errors.New("answer lacks the field load")
	}
	if *wire.Load < 0 || *wire.Load > maxLoad {
		return Answer{}, errors.Newf("answer has load %d, must be 0 to %d", *wire.Load, maxLoad)
	}
	age, err := parseAge(wire.AgeMillis)
	if err != nil {
		return Answer{}, err
	}
	return Answer{Healthy: *wire.Healthy, Load: uint16(*wire.Load), Age: age}, nil
}

// maxAge is the maximum age of an answer; a larger one is reduced to it.
const maxAge = 24 * time.Hour

func parseAge(milliseconds *int64) (time.Duration, error) {
	if milliseconds == nil {
		return 0, nil
	}
	if *milliseconds < 0 {
		return 0, errors.Newf("answer has a negative age_ms %d", *milliseconds)
	}
	return time.Duration(min(*milliseconds, maxAge.Milliseconds())) * time.Millisecond, nil
}
