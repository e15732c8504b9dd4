package engine

import (
	"context"
	"net/http"
	"time"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
)

// mailboxCapacity bounds the messages that wait for the task; senders block beyond it.
const mailboxCapacity = 1024

// Server is one engine. It answers once Run is started.
type Server struct {
	options Options
	inbox   mailbox.Mailbox[message]
	mux     *http.ServeMux
	// outside is the condition that every connection sees.
	outside *latest.Value[condition]
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

// condition is what every connection of the engine is subject to.
type condition struct {
	// down is set while the engine restarts: its connections are closed.
	down bool
	// incarnation is the number of the running process, from 1.
	incarnation int
	// stalledUntil is the end of the present stall.
	stalledUntil time.Time
}

// NewServer returns an engine.
func NewServer(o Options) *Server {
	s := &Server{
		options: o.withDefaults(), inbox: mailbox.New[message](mailboxCapacity), mux: http.NewServeMux(),
		outside: latest.New(condition{incarnation: 1}), final: latest.New(Stats{}),
	}
	s.life, s.endLife = context.WithCancel(context.Background())
	s.mux.HandleFunc("POST /v1/chat/completions", s.serveGenerate)
	s.mux.HandleFunc("POST /v1/completions", s.serveGenerate)
	s.mux.HandleFunc("GET /v1/generations/{id}/stream", s.serveResume)
	s.mux.HandleFunc("DELETE /v1/generations/{id}", s.serveCancel)
	s.mux.HandleFunc("GET /load", s.serveLoad)
	s.mux.HandleFunc("GET /cache-events", s.serveCacheEvents)
	s.mux.HandleFunc("POST /orders", s.serveOrder)
	return s
}

// Run owns the state of the engine until ctx ends. It may be called once.
func (s *Server) Run(ctx context.Context) {
	defer s.endLife()
	t := newTask(s.options, s.outside)
	defer func() {
		t.closeAll()
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
	defer context.AfterFunc(s.life, cancel)()
	r = r.WithContext(ctx)
	s.pass(r, s.outside.Load().incarnation)
	s.mux.ServeHTTP(w, r)
}

// pass waits for the end of a stall. It closes the connection when the engine is down, is another process than the one
// that the request reached, or has ended.
func (s *Server) pass(r *http.Request, incarnation int) {
	for {
		c, changed := s.outside.Watch()
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

// ask sends the message that build makes for a reply channel and waits for the reply. It closes the connection when there
// is none.
func ask[R any](s *Server, r *http.Request, build func(chan<- R) message) R {
	reply, err := mailbox.Call(r.Context(), s.inbox, build)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return reply
}
