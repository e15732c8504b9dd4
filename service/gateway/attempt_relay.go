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

// relay passes parts on until the connection ends in one way or another.
func (a *attempt) relay(caller, detached context.Context, running *engine.Stream) ending {
	opened := time.Now()
	armed := a.deadline(opened)
	timer := time.NewTimer(time.Until(armed))
	defer timer.Stop()
	for {
		select {
		case <-caller.Done():
			return ending{callerGone: true}
		case <-timer.C:
			armed = a.deadline(opened)
			if wait := time.Until(armed); wait > 0 {
				timer.Reset(wait)
				continue
			}
			a.report(detached, message.GrantStalled, nil)
			a.session.server.metrics.stall.Record(time.Since(a.assembler.Last()))
			return ending{failure: &engine.Failure{Sent: true, Err: errStalled}}
		case event, ok := <-running.Events():
			if !ok {
				return ending{failure: &engine.Failure{Sent: true, Err: errClosed}}
			}
			if e := a.take(detached, event); e != nil {
				return *e
			}
			// The first part ends the long wait for it; later parts mostly move the deadline back, which the timer finds out
			// when it fires.
			if next := a.deadline(opened); next.Before(armed) {
				armed = next
				timer.Reset(time.Until(armed))
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

// deadline returns when the running connection counts as stalled.
func (a *attempt) deadline(opened time.Time) time.Time {
	options := a.session.server.options
	if a.assembler.Next() == 0 {
		return opened.Add(options.FirstTokenTimeout)
	}
	stalled := a.assembler.StallDeadline(options.StallAfter)
	if earliest := opened.Add(options.StallAfter); stalled.Before(earliest) {
		return earliest
	}
	return stalled
}

// take handles one event; nil means that the stream goes on.
func (a *attempt) take(ctx context.Context, e engine.Event) *ending {
	switch e.Kind {
	case engine.EventPart:
		return a.takePart(ctx, e)
	case engine.EventEnd:
		return a.takeEnd()
	default:
		return &ending{failure: e.Failure}
	}
}

// takeEnd passes the terminal mark on, but only after the part that carries the end reason.
func (a *attempt) takeEnd() *ending {
	a.assembler.End()
	if !a.assembler.Whole() {
		return &ending{failure: &engine.Failure{Sent: true, Status: http.StatusOK, Err: errIncomplete}}
	}
	if err := a.session.writer.end(); err != nil {
		a.session.server.log.Debug("caller hung up before the terminal mark", zap.Error(err))
	}
	return &ending{whole: true}
}

func (a *attempt) takePart(ctx context.Context, e engine.Event) *ending {
	now := time.Now()
	m := a.session.server.metrics
	last := a.assembler.Last()
	switch a.assembler.Accept(now, e.Number) {
	case stream.Duplicate:
		m.duplicates.Inc(1)
		return nil
	case stream.Gap:
		return &ending{failure: &engine.Failure{Sent: true, Status: http.StatusOK, Err: errGap}}
	}
	a.resumes = 0
	if e.Number == 0 {
		a.first = now.Sub(a.started)
		m.firstToken.RecordDuration(a.first)
	} else {
		m.interval.RecordDuration(now.Sub(last))
	}
	m.parts.Inc(1)
	if e.Finished {
		a.assembler.Finish()
	}
	if err := a.session.writer.part(e.Number, e.Data); err != nil {
		if errors.Is(err, errCallerGone) {
			return &ending{callerGone: true}
		}
		return &ending{failure: &engine.Failure{Sent: true, Status: http.StatusOK, Err: err}}
	}
	if e.Number == 0 || now.Sub(a.reported) >= progressInterval {
		a.reported = now
		a.report(ctx, message.GrantProgress, nil)
	}
	return nil
}
