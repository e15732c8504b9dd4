package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/stream"
	"azuredyke.dev/azuredyke/transport/engine"
)

// relayConnection passes the parts from one connection on to the caller until the answer is complete, the caller hangs up
// or the connection fails or stalls.
func (a *attempt) relayConnection(caller, detached context.Context, upstream *engine.Stream) relayResult {
	openedAt := time.Now()
	timerDeadline := a.deadline(openedAt)
	timer := time.NewTimer(time.Until(timerDeadline))
	defer timer.Stop()
	for {
		select {
		case <-caller.Done():
			return relayResult{callerGone: true}
		case <-timer.C:
			timerDeadline = a.deadline(openedAt)
			if wait := time.Until(timerDeadline); wait > 0 {
				timer.Reset(wait)
				continue
			}
			a.report(detached, message.GrantStalled, nil)
			a.session.server.metrics.stallTime.Record(time.Since(a.assembler.LastArrival()))
			return relayResult{failure: &engine.Failure{Sent: true, Err: errStalled}}
		case event, ok := <-upstream.Events():
			if !ok {
				return relayResult{failure: &engine.Failure{Sent: true, Err: errClosed}}
			}
			if result := a.handleEvent(detached, event); result != nil {
				return *result
			}
			// After the first part the deadline is usually much earlier, so the timer is reset. Later parts usually extend the
			// deadline; the timer is then only reset when it fires, which saves a reset for each part.
			if next := a.deadline(openedAt); next.Before(timerDeadline) {
				timerDeadline = next
				timer.Reset(time.Until(timerDeadline))
			}
		}
	}
}

var (
	errStalled    = errors.New("no token arrived in time")
	errClosed     = errors.New("the connection to the endpoint ended")
	errGap        = errors.New("a part of the generation is missing")
	errIncomplete = errors.New("the generation ended without its end reason")
	errCallerGone = errors.New("the caller hung up")
)

// deadline returns the time at which the connection counts as stalled.
func (a *attempt) deadline(openedAt time.Time) time.Time {
	options := a.session.server.options
	if a.assembler.Next() == 0 {
		return openedAt.Add(options.FirstTokenTimeout)
	}
	stalled := a.assembler.StallDeadline(options.StallAfter)
	if earliest := openedAt.Add(options.StallAfter); stalled.Before(earliest) {
		return earliest
	}
	return stalled
}

// handleEvent handles one event of a connection. A nil result means that the connection goes on.
func (a *attempt) handleEvent(ctx context.Context, e engine.Event) *relayResult {
	switch e.Kind {
	case engine.EventPart:
		return a.handlePart(ctx, e)
	case engine.EventEnd:
		return a.handleEnd()
	default:
		return &relayResult{failure: e.Failure}
	}
}

// handleEnd completes the answer, unless the part with the end reason is missing.
func (a *attempt) handleEnd() *relayResult {
	a.assembler.RecordTerminator()
	if !a.assembler.IsComplete() {
		return &relayResult{failure: &engine.Failure{Sent: true, Status: http.StatusOK, Err: errIncomplete}}
	}
	if err := a.session.writer.end(); err != nil {
		a.session.server.log.Debug("caller hung up before the terminator", zap.Error(err))
	}
	return &relayResult{complete: true}
}

// handlePart passes one part on to the caller and records its time in the metrics.
func (a *attempt) handlePart(ctx context.Context, e engine.Event) *relayResult {
	now := time.Now()
	m := a.session.server.metrics
	last := a.assembler.LastArrival()
	switch a.assembler.Accept(now, e.Number) {
	case stream.Duplicate:
		m.duplicates.Inc(1)
		return nil
	case stream.Gap:
		return &relayResult{failure: &engine.Failure{Sent: true, Status: http.StatusOK, Err: errGap}}
	}
	a.resumes = 0
	if e.Number == 0 {
		a.firstPartDelay = now.Sub(a.startedAt)
		m.firstToken.RecordDuration(a.firstPartDelay)
	} else {
		m.tokenInterval.RecordDuration(now.Sub(last))
	}
	m.parts.Inc(1)
	if e.Finished {
		a.assembler.RecordFinishReason()
	}
	if err := a.session.writer.writePart(e.Number, e.Data); err != nil {
		if errors.Is(err, errCallerGone) {
			return &relayResult{callerGone: true}
		}
		return &relayResult{failure: &engine.Failure{Sent: true, Status: http.StatusOK, Err: err}}
	}
	if e.Number == 0 || now.Sub(a.lastReportAt) >= progressInterval {
		a.lastReportAt = now
		a.report(ctx, message.GrantProgress, nil)
	}
	return nil
}
