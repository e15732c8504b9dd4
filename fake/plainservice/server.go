// Package plainservice is a stand-in for a plain service beside the model engines. It counts each call that it runs.
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
	// mailboxCapacity bounds the messages that wait for the task; senders block beyond it.
	mailboxCapacity = 1024
	// maxBody bounds the body of a call.
	maxBody = 16 << 20
)

// Server answers every call with what it received. It answers once Run is started.
type Server struct {
	options Options
	inbox   mailbox.Mailbox[message]
	// stalledUntil is the end of the present stall.
	stalledUntil *latest.Value[time.Time]
	// final holds the counters once Run has ended.
	final *latest.Value[Stats]
	// life ends when Run has ended.
	life    context.Context
	endLife context.CancelFunc
}

// message is a message to the task; handle is executed by the task's goroutine.
type message interface {
	handle(t *task)
}

// NewServer returns a server that has run nothing.
func NewServer(o Options) *Server {
	s := &Server{
		options: o, inbox: mailbox.New[message](mailboxCapacity), stalledUntil: latest.New(time.Time{}),
		final: latest.New(Stats{}),
	}
	s.life, s.endLife = context.WithCancel(context.Background())
	return s
}

// Run owns the state of the service until ctx ends. It may be called once.
func (s *Server) Run(ctx context.Context) {
	defer s.endLife()
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
	defer context.AfterFunc(s.life, cancel)()
	s.waitForStall(ctx)
	if r.URL.Path == "/load" {
		load := ask(ctx, s, func(reply chan<- engine.LoadBody) message { return loadMessage{reply: reply} })
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
	// A service does not stop a call because its caller is gone.
	begun := ask(s.life, s, func(reply chan<- beginReply) message { return beginMessage{call: call, fence: fence, reply: reply} })
	if begun.refused != "" {
		w.Header().Set(engine.HeaderRefused, begun.refused)
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": begun.refused})
		return
	}
	wait(s.life, s.options.Latency)
	call.Number = begun.number
	ask(s.life, s, func(reply chan<- struct{}) message { return endMessage{reply: reply} })
	s.waitForStall(ctx)
	s.answer(ctx, w, call, begun.failure)
}

// answer answers a call that was run, or fails as it should.
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

// waitForStall waits until nothing is stalled, and closes the connection when ctx ends.
func (s *Server) waitForStall(ctx context.Context) {
	for d := time.Until(s.stalledUntil.Load()); d > 0; d = time.Until(s.stalledUntil.Load()) {
		if !wait(ctx, d) {
			panic(http.ErrAbortHandler)
		}
	}
}

// wait reports whether ctx lasted for d.
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

// ask sends a message and waits for the reply. It closes the connection when there is none.
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
