package peer

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
)

const (
	// hubCapacity bounds the waiting messages of a hub.
	hubCapacity = 1024
	// forgetInterval is how often old dial failures are forgotten.
	forgetInterval = time.Minute
)

// Hub is the task that knows the links of this node.
type Hub struct {
	log      *zap.Logger
	options  Options
	client   *http.Client
	handlers map[string]*handler
	messages inbox
	current  *latest.Value[map[string]*link]
	// done is closed when Run has been told to end.
	done chan struct{}

	ctx      context.Context
	links    map[string]*link
	backoffs map[string]backoff
	incoming int
	tasks    sync.WaitGroup
	handling sync.WaitGroup

	noticesDropped, refused, authFailed, bytesSent, bytesReceived, dials tally.Counter
}

// NewHub returns a Hub without links.
func NewHub(log *zap.Logger, o Options) *Hub {
	o = o.withDefaults()
	scope := o.Scope
	return &Hub{
		log: log, options: o, handlers: map[string]*handler{}, messages: newInbox(hubCapacity),
		client: &http.Client{Transport: &http.Transport{
			DialContext:    (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
			DialTLSContext: dialTLS(o), DisableKeepAlives: true,
		}},
		current: latest.New(map[string]*link{}), done: make(chan struct{}),
		links: map[string]*link{}, backoffs: map[string]backoff{},
		noticesDropped: scope.Counter("notices_dropped"), refused: scope.Counter("requests_refused"),
		authFailed: scope.Counter("links_refused"), bytesSent: scope.Counter("bytes_sent"),
		bytesReceived: scope.Counter("bytes_received"), dials: scope.Counter("dials"),
	}
}

// Run opens and accepts links until ctx ends, and returns when all links and handlers have ended.
func (h *Hub) Run(ctx context.Context) {
	h.ctx = ctx
	forget := time.NewTicker(forgetInterval)
	defer forget.Stop()
	for {
		select {
		case <-ctx.Done():
			close(h.done)
			h.tasks.Wait()
			h.handling.Wait()
			h.messages.drain()
			return
		case m := <-h.messages:
			m.apply(h)
		case now := <-forget.C:
			maps.DeleteFunc(h.backoffs, func(_ string, b backoff) bool {
				return now.Sub(b.until) > h.options.MaxBackoff
			})
		}
	}
}

// open returns the link to an address and dials it if there is none.
func (h *Hub) open(address string) (*link, error) {
	if l, ok := h.links[address]; ok && !l.ended() {
		return l, nil
	}
	if b, ok := h.backoffs[address]; ok {
		if wait := time.Until(b.until); wait > 0 {
			return nil, Error.New("%s failed %d times and is dialled again in %v", address, b.failures, wait)
		}
	}
	l := newLink(h, address, nil)
	h.links[address] = l
	h.publish()
	h.dials.Inc(1)
	h.start(l)
	return l, nil
}

// start runs the task of a link.
func (h *Hub) start(l *link) {
	h.tasks.Go(func() {
		l.run(h.ctx)
		select {
		case h.messages <- endedMessage{link: l}:
		case <-h.done:
		}
	})
}

func (h *Hub) publish() { h.current.Publish(maps.Clone(h.links)) }

func (h *Hub) backoffAfterFailure(address string) time.Duration {
	now := time.Now()
	b := h.backoffs[address].next(now, h.options.MinBackoff, h.options.MaxBackoff)
	h.backoffs[address] = b
	return b.until.Sub(now)
}
