package kvserver

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/common/mailbox"
)

// admitMessage requests the admission of a call.
type admitMessage struct {
	kind  CallKind
	write bool
	reply chan<- admission
}

// admission is the reply to admitMessage.
type admission struct {
	outage       Outage
	rateExceeded bool
	// wait is the time for which the call must be delayed.
	wait time.Duration
}

func (m admitMessage) handle(t *task) {
	if t.outage != OutageNone {
		t.counters.RefusedByOutage++
		m.reply <- admission{outage: t.outage}
		return
	}
	now := time.Now()
	limiter := t.reads
	if m.write {
		limiter = t.writes
	}
	reservation := limiter.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); !reservation.OK() || wait > t.options.MaxWait {
		reservation.CancelAt(now)
		t.counters.Refused++
		m.reply <- admission{rateExceeded: true}
		return
	}
	t.counters.add(m.kind, m.write, now)
	m.reply <- admission{wait: reservation.DelayFrom(now) + t.delay}
}

// admit waits until a call may be served. It returns the error for the caller if the call is refused or ctx ends.
func (s *Server) admit(ctx context.Context, kind CallKind, write bool) error {
	a, err := mailbox.Call(ctx, s.inbox, func(reply chan<- admission) message {
		return admitMessage{kind: kind, write: write, reply: reply}
	})
	switch {
	case err != nil:
		return errUnavailable
	case a.outage == OutageRefuse:
		return errUnavailable
	case a.outage == OutageHang:
		<-ctx.Done()
		return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	case a.rateExceeded:
		return errTooManyRequests
	case a.wait <= 0:
		return nil
	}
	timer := time.NewTimer(a.wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

// applyLoss ends the call as l requires. It returns only if the answer is not lost.
func applyLoss(ctx context.Context, l AnswerLoss) {
	switch l {
	case AnswerLossNoReply:
		<-callerLeft(ctx)
		panic(http.ErrAbortHandler)
	case AnswerLossReset:
		panic(http.ErrAbortHandler)
	}
}
