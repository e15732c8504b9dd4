package kvserver

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/gen/etcdserverpb/etcdserverpbconnect"
)

const (
	// mailboxCapacity bounds the queued messages of the task; senders block when the queue is full.
	mailboxCapacity = 1024
	// expiryInterval is the interval between two searches for expired leases.
	expiryInterval = 50 * time.Millisecond
)

// Server is an http.Handler that serves the key-value API. Calls are answered only while Run is running.
type Server struct {
	options Options
	inbox   mailbox.Mailbox[message]
	handler http.Handler
	// lifetime is cancelled when Run ends.
	lifetime    context.Context
	endLifetime context.CancelFunc
}

// message is a message to the task, which calls handle in its goroutine.
type message interface {
	handle(t *task)
}

// NewServer returns a server with an empty store. The caller must call Run.
func NewServer(o Options) *Server {
	s := &Server{options: o.withDefaults(), inbox: mailbox.New[message](mailboxCapacity)}
	s.lifetime, s.endLifetime = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	limit := connect.WithReadMaxBytes(s.options.MaxRequestBytes)
	mux.Handle(etcdserverpbconnect.NewKVHandler(kvHandler{server: s}, limit))
	mux.Handle(etcdserverpbconnect.NewWatchHandler(watchHandler{server: s}, limit))
	mux.Handle(etcdserverpbconnect.NewLeaseHandler(leaseHandler{server: s}, limit))
	s.handler = mux
	return s
}

// ServeHTTP implements http.Handler. The HTTP server must support HTTP/2, which gRPC requires.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.lifetime, cancel)()
	s.handler.ServeHTTP(w, r.WithContext(context.WithValue(ctx, callerKey{}, ctx)))
}

// callerKey is the key of the context that ends when the caller has left, whatever the deadline of the call.
type callerKey struct{}

// callerLeft returns a channel that is closed when the caller of a call has left.
func callerLeft(ctx context.Context) <-chan struct{} {
	return ctx.Value(callerKey{}).(context.Context).Done()
}

// Run runs the task that owns the store until ctx is cancelled. It may be called only once.
func (s *Server) Run(ctx context.Context) {
	defer s.endLifetime()
	t := newTask(s.options)
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	defer t.abortWatches()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.inbox.Receive():
			m.handle(t)
		case <-ticker.C:
			t.expire(time.Now())
		}
	}
}
