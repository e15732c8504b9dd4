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
	// mailboxCapacity bounds the messages that wait for the task; senders block beyond it.
	mailboxCapacity = 1024
	// expiryInterval is how often lapsed leases are looked for.
	expiryInterval = 50 * time.Millisecond
)

// Server is the key-value service. It answers once Run is started.
type Server struct {
	options Options
	inbox   mailbox.Mailbox[message]
	handler http.Handler
	// life ends when Run has ended.
	life    context.Context
	endLife context.CancelFunc
}

// message is a message to the task; handle is executed by the task's goroutine.
type message interface {
	handle(t *task)
}

// NewServer returns a service with an empty store.
func NewServer(o Options) *Server {
	s := &Server{options: o.withDefaults(), inbox: mailbox.New[message](mailboxCapacity)}
	s.life, s.endLife = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	limit := connect.WithReadMaxBytes(s.options.MaxRequestBytes)
	mux.Handle(etcdserverpbconnect.NewKVHandler(kvHandler{server: s}, limit))
	mux.Handle(etcdserverpbconnect.NewWatchHandler(watchHandler{server: s}, limit))
	mux.Handle(etcdserverpbconnect.NewLeaseHandler(leaseHandler{server: s}, limit))
	s.handler = mux
	return s
}

// ServeHTTP implements http.Handler. The HTTP server must speak HTTP/2, which gRPC needs.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.life, cancel)()
	s.handler.ServeHTTP(w, r.WithContext(ctx))
}

// Run owns the store until ctx ends. It may be called once.
func (s *Server) Run(ctx context.Context) {
	defer s.endLife()
	t := newTask(s.options)
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	defer t.breakWatches()
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
