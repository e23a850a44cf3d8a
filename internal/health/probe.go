package health

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// maxAnswerBytes bounds what is read of an answer.
const maxAnswerBytes = 4096

// maxLoad is the load of a full host, in thousandths.
const maxLoad = 1000

// wireAnswer is the JSON of a host's probe endpoint. The fields are pointers
// because an answer that leaves one out says nothing.
type wireAnswer struct {
	Healthy   *bool  `json:"healthy"`
	Load      *int64 `json:"load"`   // thousandths of capacity, 0..1000
	AgeMillis *int64 `json:"age_ms"` // how old the values are; absent means zero
}

// newClient gives a client that asks the named address and no other: without
// proxy and without following redirects.
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

// probe asks a back end for its health and load.
func probe(ctx context.Context, client *http.Client, url string) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Answer{}, errors.Wrapf(err, "probe %s", url)
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, errors.Wrapf(err, "probe %s", url)
	}
	defer func() { _ = response.Body.Close() }() // nothing is lost with a read body
	if response.StatusCode != http.StatusOK {
		return Answer{}, errors.Newf("probe %s: status %d, not %d", url, response.StatusCode, http.StatusOK)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, errors.Wrapf(err, "probe %s: read the answer", url)
	}
	answer, err := ParseAnswer(body)
	return answer, errors.Wrapf(err, "probe %s", url)
}

// ParseAnswer reads the JSON of a probe endpoint, such as
// {"healthy":true,"load":250,"age_ms":100}. Unknown fields are ignored, so that
// hosts may say more.
func ParseAnswer(body []byte) (Answer, error) {
	var wire wireAnswer
	if err := json.Unmarshal(body, &wire); err != nil {
		return Answer{}, errors.Wrap(err, "answer is no JSON object of health and load")
	}
	if wire.Healthy == nil {
		return Answer{}, errors.New("answer has no field healthy")
	}
	if wire.Load == nil {
		return Answer{}, errors.New("answer has no field load")
	}
	if *wire.Load < 0 || *wire.Load > maxLoad {
		return Answer{}, errors.Newf("answer has load %d, not 0 to %d", *wire.Load, maxLoad)
	}
	age, err := parseAge(wire.AgeMillis)
	if err != nil {
		return Answer{}, err
	}
	return Answer{Healthy: *wire.Healthy, Load: uint16(*wire.Load), Age: age}, nil
}

// maxAge is the greatest age taken from an answer; more is cut to it.
const maxAge = 24 * time.Hour

func parseAge(milliseconds *int64) (time.Duration, error) {
	if milliseconds == nil {
		return 0, nil
	}
	if *milliseconds < 0 {
		return 0, errors.Newf("answer has age_ms %d, which is negative", *milliseconds)
	}
	return time.Duration(min(*milliseconds, maxAge.Milliseconds())) * time.Millisecond, nil
}
