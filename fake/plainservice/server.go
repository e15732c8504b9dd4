// Package plainservice is a fake plain service, one that is not a model engine, for tests. It counts the calls that it
// runs.
package plainservice

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/transport/engine"
)

const (
	// mailboxCapacity bounds the queued messages of the task; senders block when the queue is full.
	mailboxCapacity = 1024
	// maxBody bounds the body of a call.
	maxBody = 16 << 20
)

// Server is an http.Handler that answers every call with a JSON description of the call. Calls are answered only while
// Run is running.
type Server struct {
	options Options
	inbox   mailbox.Mailbox[message]
	// stalledUntil is the end of the current stall.
	stalledUntil *latest.Value[time.Time]
	// final holds the counters once Run has ended.
	final *latest.Value[Stats]
	// lifetime is cancelled when Run ends.
	lifetime    context.Context
	endLifetime context.CancelFunc
}

// message is a message to the task, which calls handle in its goroutine.
type message interface {
	handle(t *task)
}

// NewServer returns a server that has not run any calls. The caller must call Run.
func NewServer(o Options) *Server {
	s := &Server{
		options: o, inbox: mailbox.New[message](mailboxCapacity), stalledUntil: latest.New(time.Time{}),
		final: latest.New(Stats{}),
	}
	s.lifetime, s.endLifetime = context.WithCancel(context.Background())
	return s
}

// Run runs the task that owns the state of the service until ctx is cancelled. It may be called only once.
func (s *Server) Run(ctx context.Context) {
	defer s.endLifetime()
	t := &task{options: s.options, stalledUntil: s.stalledUntil, stats: Stats{Runs: map[string]int{}}}
	defer func() { s.final.Publish(t.stats.clone()) }()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.inbox.Receive():
			m.handle(t)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.lifetime, cancel)()
	s.waitWhileStalled(ctx)
	if r.URL.Path == "/load" {
		load := ask(ctx, s, func(reply chan<- engine.LoadReportBody) message { return loadMessage{reply: reply} })
		writeJSON(w, http.StatusOK, load)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fence, _ := strconv.ParseUint(r.Header.Get(engine.HeaderFence), 10, 64)
	call := Call{
		Method: r.Method, Path: r.URL.Path, Key: r.Header.Get("Idempotency-Key"), Body: string(body),
		RequestID: r.Header.Get(engine.HeaderRequestID),
	}
	// A call continues to run after its caller has closed the connection, as in a real service.
	begun := ask(s.lifetime, s, func(reply chan<- beginReply) message { return beginMessage{call: call, fence: fence, reply: reply} })
	if begun.refused != "" {
		w.Header().Set(engine.HeaderRefused, begun.refused)
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": begun.refused})
		return
	}
	wait(s.lifetime, s.options.Latency)
	call.Number = begun.number
	ask(s.lifetime, s, func(reply chan<- struct{}) message { return endMessage{reply: reply} })
	s.waitWhileStalled(ctx)
	s.answer(ctx, w, call, begun.failure)
}

// answer answers a call, or fails as f specifies.
func (s *Server) answer(ctx context.Context, w http.ResponseWriter, call Call, f Failure) {
	switch f {
	case FailBefore, FailAfter:
		panic(http.ErrAbortHandler)
	case FailSilent:
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	case FailStatus:
		writeJSON(w, http.StatusInternalServerError, map[string]string{"error": "failed"})
	default:
		call.Padding = strings.Repeat("x", max(s.options.AnswerBytes, 0))
		writeJSON(w, http.StatusOK, call)
	}
}

// waitWhileStalled waits for the end of a stall. It closes the connection if ctx ends first.
func (s *Server) waitWhileStalled(ctx context.Context) {
	for d := time.Until(s.stalledUntil.Load()); d > 0; d = time.Until(s.stalledUntil.Load()) {
		if !wait(ctx, d) {
			panic(http.ErrAbortHandler)
		}
	}
}

// wait waits for d. It returns false if ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask sends the message returned by build to the task and waits for the reply. It closes the connection if ctx ends
// first.
func ask[R any](ctx context.Context, s *Server, build func(chan<- R) message) R {
	reply, err := mailbox.Call(ctx, s.inbox, build)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return reply
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
