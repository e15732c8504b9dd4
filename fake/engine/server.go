package engine

import (
	"context"
	"net/http"
	"time"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
)

// mailboxCapacity bounds the queued messages of the task; senders block when the queue is full.
const mailboxCapacity = 1024

// Server is an http.Handler that simulates one engine. Requests are answered only while Run is running.
type Server struct {
	options Options
	inbox   mailbox.Mailbox[message]
	mux     *http.ServeMux
	// processState is published by the task and read by every connection.
	processState *latest.Value[processState]
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

// processState is the state of the simulated process, which applies to all connections.
type processState struct {
	// down is set while the engine restarts and closes all connections.
	down bool
	// incarnation is the number of the process, starting at 1.
	incarnation int
	// stalledUntil is the end of the current stall.
	stalledUntil time.Time
}

// NewServer returns an engine in its first incarnation. The caller must call Run.
func NewServer(o Options) *Server {
	s := &Server{
		options: o.withDefaults(), inbox: mailbox.New[message](mailboxCapacity), mux: http.NewServeMux(),
		processState: latest.New(processState{incarnation: 1}), final: latest.New(Stats{}),
	}
	s.lifetime, s.endLifetime = context.WithCancel(context.Background())
	s.mux.HandleFunc("POST /v1/chat/completions", s.serveGenerate)
	s.mux.HandleFunc("POST /v1/completions", s.serveGenerate)
	s.mux.HandleFunc("GET /v1/generations/{id}/stream", s.serveResume)
	s.mux.HandleFunc("DELETE /v1/generations/{id}", s.serveCancel)
	s.mux.HandleFunc("GET /load", s.serveLoad)
	s.mux.HandleFunc("GET /cache-events", s.serveCacheEvents)
	s.mux.HandleFunc("POST /orders", s.serveOrder)
	return s
}

// Run runs the task that owns the state of the engine until ctx is cancelled. It may be called only once.
func (s *Server) Run(ctx context.Context) {
	defer s.endLifetime()
	t := newTask(s.options, s.processState)
	defer func() {
		t.abortRunning()
		s.final.Publish(t.snapshotStats())
	}()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(t.advance(time.Now()))
		select {
		case <-ctx.Done():
			return
		case m := <-s.inbox.Receive():
			m.handle(t)
		case <-timer.C:
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.lifetime, cancel)()
	r = r.WithContext(ctx)
	s.waitWhileStalled(r, s.processState.Load().incarnation)
	s.mux.ServeHTTP(w, r)
}

// waitWhileStalled waits for the end of a stall. It closes the connection if the engine is down, has ended, or has
// restarted since it received the request.
func (s *Server) waitWhileStalled(r *http.Request, incarnation int) {
	for {
		c, changed := s.processState.Watch()
		if c.down || c.incarnation != incarnation || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		wait := time.Until(c.stalledUntil)
		if wait <= 0 {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-r.Context().Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// ask sends the message returned by build to the task and waits for the reply. It closes the connection if the request
// is cancelled or the engine has ended.
func ask[R any](s *Server, r *http.Request, build func(chan<- R) message) R {
	reply, err := mailbox.Call(r.Context(), s.inbox, build)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return reply
}
