package clientsim

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"robinpulley.example/robinpulley/internal/lab/stream"
	"robinpulley.example/robinpulley/internal/lab/wire"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/packet"
)

// Receive handles a datagram from a host, or a refusal forwarded by the fabric.
func (client *Client) Receive(now time.Time, datagram []byte) {
	var decoded packet.Packet
	if packet.Decode(datagram, &decoded) != nil {
		return
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	attempt := client.attempts[decoded.Destination()]
	if attempt == nil {
		return // the flow has ended
	}
	switch {
	case decoded.Refusal.Verdict != 0:
		client.receiveRefusal(now, attempt, decoded.Refusal)
	case attempt.udp:
		client.receiveUDPAnswer(now, attempt, decoded.Segment.Payload)
	default:
		client.receiveSegment(now, attempt, &decoded.Segment)
	}
}

func (client *Client) receiveSegment(now time.Time, attempt *requestAttempt, segment *packet.Segment) {
	endpoint := attempt.endpoint
	data := endpoint.Receive(now, segment)
	client.flush(attempt)
	if endpoint.State == stream.Reset {
		if !attempt.answeredAt.IsZero() {
			delete(client.attempts, attempt.local) // the request is complete
			return
		}
		client.fail(now, attempt, CauseReset)
		return
	}
	if endpoint.State == stream.Established && !attempt.opened {
		client.markOpened(now, attempt)
	}
	for _, line := range attempt.lines.Add(data) {
		var answer wire.Answer
		if json.Unmarshal(line, &answer) != nil {
			client.report.Mixed = append(client.report.Mixed, attempt.attemptID())
			continue
		}
		client.receiveAnswer(now, attempt, &answer)
	}
}

func (client *Client) markOpened(now time.Time, attempt *requestAttempt) {
	attempt.opened = true
	client.report.Opened++
	// A latency above one minute is out of range and not counted.
	_ = client.openingLatencies.RecordValue(now.Sub(attempt.startedAt).Microseconds())
}

func (client *Client) receiveAnswer(now time.Time, attempt *requestAttempt, answer *wire.Answer) {
	if !client.checkAnswer(attempt, answer) {
		return
	}
	attempt.host = answer.Host
	switch {
	case answer.Push > 0:
		client.report.Pushes++
	case answer.NotRun:
		client.report.NotRunIDs = append(client.report.NotRunIDs, attempt.attemptID())
		client.closeAttempt(now, attempt)
		client.scheduleRetry(now, attempt, time.Duration(answer.RetryMillis)*time.Millisecond)
	case answer.Length != len(attempt.request.Body) || answer.Hash != xxhash.Sum64(attempt.request.Body):
		client.report.Truncated = append(client.report.Truncated, attempt.attemptID())
		client.closeAttempt(now, attempt)
	default:
		client.report.Answered++
		_ = client.answerLatencies.RecordValue(now.Sub(attempt.startedAt).Microseconds())
		client.closeAttempt(now, attempt)
	}
}

func (client *Client) checkAnswer(attempt *requestAttempt, answer *wire.Answer) bool {
	if answer.Service != client.settings.Service {
		client.report.WrongService = append(client.report.WrongService, attempt.attemptID())
		return false
	}
	if answer.ID != attempt.request.ID {
		client.report.Mixed = append(client.report.Mixed, attempt.attemptID())
		return false
	}
	return true
}

func (client *Client) receiveUDPAnswer(now time.Time, attempt *requestAttempt, payload []byte) {
	var answer wire.Answer
	if json.Unmarshal(payload, &answer) != nil || !client.checkAnswer(attempt, &answer) {
		return
	}
	attempt.progressAt = now
	if !attempt.opened {
		client.markOpened(now, attempt)
		attempt.host = answer.Host
	}
	if attempt.host != answer.Host {
		client.fail(now, attempt, CauseMoved)
	}
}

// receiveRefusal handles a refusal by a balancer. Only requests that did not run are retried.
func (client *Client) receiveRefusal(now time.Time, attempt *requestAttempt, refusal lb.Refusal) {
	if refusal.Verdict != lb.NotRun {
		client.report.MayHaveRun = append(client.report.MayHaveRun, attempt.local.String())
		client.fail(now, attempt, CauseMayHaveRun)
		return
	}
	client.report.NotRun = append(client.report.NotRun, attempt.local.String())
	if attempt.opened {
		client.report.FalseNotRun = append(client.report.FalseNotRun, attempt.local.String())
	}
	delete(client.attempts, attempt.local)
	client.scheduleRetry(now, attempt, refusal.RetryAfter)
}

// scheduleRetry schedules another attempt of a refused request, on a new flow, unless the client is
// stopped.
func (client *Client) scheduleRetry(now time.Time, refused *requestAttempt, after time.Duration) {
	next := &requestAttempt{
		requestID: refused.requestID, number: refused.number, kind: refused.kind,
		udp: refused.udp, request: refused.request,
	}
	if !client.stopped {
		client.retries = append(client.retries, retry{at: now.Add(after), attempt: next})
	}
}
