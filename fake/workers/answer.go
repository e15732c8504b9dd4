package workers

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// firstBackupDelay is the time for which the backup of a new run has no copy of its memory. The platform promises copies several times a
// second.
const firstBackupDelay = 300 * time.Millisecond

// answer answers a request that was run, as behaviour specifies.
func (w *Worker) answer(out http.ResponseWriter, in *http.Request, behaviour Behaviour, run *Run) {
	switch behaviour {
	case Fail:
		out.WriteHeader(http.StatusInternalServerError)
		// The blank line makes the text an event for a reader that takes it as part of a stream.
		_, _ = fmt.Fprint(out, "failed\n\n")
	case Reset:
		if w.Engine && w.ignoresClose(in) {
			w.workOn(out, in, run)
		}
		panic(http.ErrAbortHandler)
	case Truncate:
		out.Header().Set("Content-Length", "1000")
		_, _ = fmt.Fprint(out, "only a part")
		panic(http.ErrAbortHandler)
	case WrongRequestID:
		out.Header().Set("X-Request-Id", "another")
		_, _ = fmt.Fprint(out, "answer of another request")
	case ResetEarly, InvalidStatus, InvalidFieldName:
		w.answerBroken(out, in, behaviour)
	default:
		if w.Engine {
			w.writeEvents(out, in, run)
			return
		}
		select {
		case <-time.After(w.Delay):
		case <-in.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(out, "%s %s by %s", in.Method, in.URL.RequestURI(), w.ID)
	}
}

// writeEvents writes the events of a run until the last one or until the request is cancelled. If the request names a
// backup address, it updates the copy there after each event from firstBackupDelay on.
func (w *Worker) writeEvents(out http.ResponseWriter, in *http.Request, run *Run) {
	out.Header().Set("Content-Type", "text/event-stream")
	backup, request := in.Header.Get("X-Kv-Backup"), in.Header.Get("X-Request-Id")
	ctx, ignoresClose := in.Context(), w.ignoresClose(in)
	if ignoresClose {
		ctx = context.WithoutCancel(ctx)
	}
	events := w.eventCount(in)
	untilCrash := 0
	if w.EventsUntilCrash != nil {
		untilCrash = w.EventsUntilCrash(in)
	}
	begunAt := time.Now()
	padding, controller := strings.Repeat("x", w.Padding), http.NewResponseController(out)
	for n := run.From; n <= events; n++ {
		if w.UnreadTimeout > 0 {
			_ = controller.SetWriteDeadline(time.Now().Add(w.UnreadTimeout))
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %d of %s%s\n\n", n, run.Generation, request, padding); err != nil && !ignoresClose {
			return
		}
		if controller.Flush() != nil && w.UnreadTimeout > 0 {
			return
		}
		if backup != "" && time.Since(begunAt) >= firstBackupDelay {
			ask(ctx, w.Fleet, func(s *state) bool { s.copies[backup+"/"+request] = run.Generation; return true })
		}
		if untilCrash > 0 && n-run.From+1 == untilCrash {
			w.Crash()
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(w.Interval):
		case <-ctx.Done():
			return
		case <-run.stop:
			panic(http.ErrAbortHandler)
		}
	}
}

// ignoresClose reports whether the engine works on a run of the request although its connection was closed.
func (w *Worker) ignoresClose(in *http.Request) bool {
	return w.IgnoresClose != nil && w.IgnoresClose(in.URL.Path)
}

// eventCount returns the number of events of the stream for a request.
func (w *Worker) eventCount(in *http.Request) int {
	if w.EventsOf != nil {
		return w.EventsOf(in.URL.Path)
	}
	return w.Events
}

// workOn resets the connection and works on the run, until its last event or a final move.
func (w *Worker) workOn(out http.ResponseWriter, in *http.Request, run *Run) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	_ = conn.Close()
	select {
	case <-time.After(time.Duration(w.eventCount(in)-run.From) * w.Interval):
	case <-run.stop:
	}
}
