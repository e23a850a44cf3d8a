package callersim

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"robinpulley.example/robinpulley/internal/lab/stream"
	"robinpulley.example/robinpulley/internal/lab/wire"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/packet"
)

// Receive takes a datagram from a host, or a refusal from the fabric.
func (caller *Caller) Receive(now time.Time, datagram []byte) {
	var decoded packet.Packet
	if packet.Decode(datagram, &decoded) != nil {
		return
	}
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	open := caller.calls[decoded.Destination()]
	if open == nil {
		return // of a flow that has ended
	}
	switch {
	case decoded.Refusal.Verdict != 0:
		caller.refused(now, open, decoded.Refusal)
	case open.udp:
		caller.answerUDP(now, open, decoded.Segment.Payload)
	default:
		caller.segment(now, open, &decoded.Segment)
	}
}

func (caller *Caller) segment(now time.Time, open *call, segment *packet.Segment) {
	endpoint := open.endpoint
	data := endpoint.Receive(now, segment)
	caller.flush(open)
	if endpoint.State == stream.Reset {
		if !open.answered.IsZero() {
			delete(caller.calls, open.local) // the request is whole
			return
		}
		caller.fail(now, open, CauseReset)
		return
	}
	if endpoint.State == stream.Established && !open.opened {
		caller.markOpened(now, open)
	}
	for _, line := range open.lines.Add(data) {
		var answer wire.Answer
		if json.Unmarshal(line, &answer) != nil {
			caller.report.Mixed = append(caller.report.Mixed, open.name())
			continue
		}
		caller.answerLine(now, open, &answer)
	}
}

func (caller *Caller) markOpened(now time.Time, open *call) {
	open.opened = true
	caller.report.Opened++
	_ = caller.opening.RecordValue(now.Sub(open.started).Microseconds()) // above a minute: not counted
}

func (caller *Caller) answerLine(now time.Time, open *call, answer *wire.Answer) {
	if !caller.rightAnswer(open, answer) {
		return
	}
	open.host = answer.Host
	switch {
	case answer.Push > 0:
		caller.report.Pushes++
	case answer.NotRun:
		caller.report.NotRunIDs = append(caller.report.NotRunIDs, open.name())
		caller.closeCall(now, open)
		caller.comeBack(now, open, time.Duration(answer.RetryMillis)*time.Millisecond)
	case answer.Length != len(open.request.Body) || answer.Hash != xxhash.Sum64(open.request.Body):
		caller.report.Truncated = append(caller.report.Truncated, open.name())
		caller.closeCall(now, open)
	default:
		caller.report.Answered++
		_ = caller.answer.RecordValue(now.Sub(open.started).Microseconds())
		caller.closeCall(now, open)
	}
}

func (caller *Caller) rightAnswer(open *call, answer *wire.Answer) bool {
	if answer.Service != caller.settings.Service {
		caller.report.WrongService = append(caller.report.WrongService, open.name())
		return false
	}
	if answer.ID != open.request.ID {
		caller.report.Mixed = append(caller.report.Mixed, open.name())
		return false
	}
	return true
}

func (caller *Caller) answerUDP(now time.Time, open *call, payload []byte) {
	var answer wire.Answer
	if json.Unmarshal(payload, &answer) != nil || !caller.rightAnswer(open, &answer) {
		return
	}
	open.progress = now
	if !open.opened {
		caller.markOpened(now, open)
		open.host = answer.Host
	}
	if open.host != answer.Host {
		caller.fail(now, open, CauseMoved)
	}
}

// refused takes a refusal by a balancer: only what did not run is tried again.
func (caller *Caller) refused(now time.Time, open *call, refusal lb.Refusal) {
	if refusal.Verdict != lb.NotRun {
		caller.report.MayHaveRun = append(caller.report.MayHaveRun, open.local.String())
		caller.fail(now, open, CauseMayHaveRun)
		return
	}
	caller.report.NotRun = append(caller.report.NotRun, open.local.String())
	if open.opened {
		caller.report.FalseNotRun = append(caller.report.FalseNotRun, open.local.String())
	}
	delete(caller.calls, open.local)
	caller.comeBack(now, open, refusal.RetryAfter)
}

// comeBack tries a request again later, on a new flow.
func (caller *Caller) comeBack(now time.Time, refused *call, after time.Duration) {
	again := &call{
		id: refused.id, attempt: refused.attempt, kind: refused.kind,
		udp: refused.udp, request: refused.request,
	}
	if !caller.stopped {
		caller.retries = append(caller.retries, retry{at: now.Add(after), call: again})
	}
}
