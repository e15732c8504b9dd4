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
	// hubCapacity bounds the mailbox of a hub.
	hubCapacity = 1024
	// backoffSweepInterval is the interval at which expired backoffs are removed.
	backoffSweepInterval = time.Minute
)

// Hub is the task that manages the links of this node.
type Hub struct {
	log        *zap.Logger
	options    Options
	httpClient *http.Client
	handlers   map[string]*handler
	messages   inbox
	published  *latest.Value[map[string]*link]
	// done is closed when the context of Run ends.
	done chan struct{}

	ctx           context.Context
	links         map[string]*link
	backoffs      map[string]backoff
	incomingLinks int
	linkTasks     sync.WaitGroup
	handlerTasks  sync.WaitGroup

	noticesDropped, requestsRefused, linksRefused, bytesSent, bytesReceived, dials tally.Counter
}

// NewHub returns a Hub without links.
func NewHub(log *zap.Logger, o Options) *Hub {
	o = o.withDefaults()
	scope := o.Scope
	return &Hub{
		log: log, options: o, handlers: map[string]*handler{}, messages: newInbox(hubCapacity),
		httpClient: &http.Client{Transport: &http.Transport{
			DialContext:    (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
			DialTLSContext: newTLSDialFunc(o), DisableKeepAlives: true,
		}},
		published: latest.New(map[string]*link{}), done: make(chan struct{}),
		links: map[string]*link{}, backoffs: map[string]backoff{},
		noticesDropped: scope.Counter("notices_dropped"), requestsRefused: scope.Counter("requests_refused"),
		linksRefused: scope.Counter("links_refused"), bytesSent: scope.Counter("bytes_sent"),
		bytesReceived: scope.Counter("bytes_received"), dials: scope.Counter("dials"),
	}
}

// Run opens and accepts links until ctx ends, and returns when all links and handlers have ended.
func (h *Hub) Run(ctx context.Context) {
	h.ctx = ctx
	sweep := time.NewTicker(backoffSweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			close(h.done)
			h.linkTasks.Wait()
			h.handlerTasks.Wait()
			h.messages.drain()
			return
		case m := <-h.messages:
			m.apply(h)
		case now := <-sweep.C:
			maps.DeleteFunc(h.backoffs, func(_ string, b backoff) bool {
				return now.Sub(b.until) > h.options.MaxBackoff
			})
		}
	}
}

// open returns the link to an address, and starts one if there is none. It returns an error during a backoff.
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
	h.publishLinks()
	h.dials.Inc(1)
	h.startLink(l)
	return l, nil
}

// startLink starts the task of a link.
func (h *Hub) startLink(l *link) {
	h.linkTasks.Go(func() {
		l.run(h.ctx)
		select {
		case h.messages <- linkEndedMessage{link: l}:
		case <-h.done:
		}
	})
}

func (h *Hub) publishLinks() { h.published.Publish(maps.Clone(h.links)) }

func (h *Hub) recordDialFailure(address string) time.Duration {
	now := time.Now()
	b := h.backoffs[address].next(now, h.options.MinBackoff, h.options.MaxBackoff)
	h.backoffs[address] = b
	return b.until.Sub(now)
}
