package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"azuredyke.dev/azuredyke/test/harness"
)

const (
	// attemptTimeout is a caller's deadline.
	attemptTimeout = 6 * time.Second
	// thinkTime is the longest pause between two requests of a caller.
	thinkTime = 60 * time.Millisecond
	// stayShare of the requests go to the node of the last one, over its open connection, whether the node is ready or not.
	stayShare = 0.7
	// leaveShare of the requests are left before their end, after leaveAfter at the most.
	leaveShare = 0.06
	leaveAfter = 300 * time.Millisecond
	// oldKeyShare of the requests use a key that was taken away, if there is one.
	oldKeyShare = 0.1
	// maxBody bounds an answer that is read whole.
	maxBody = 1 << 20
)

// mix says how often each route is called; the empty name stands for the added routes.
var mix = []weighted[string]{{routeNote, 20}, {routeReply, 15}, {routeBooking, 35}, {routeLookup, 25}, {"", 5}}

// caller is the task of one caller. It sends one request after another.
type caller struct {
	name   string
	site   *harness.EdgeSite
	random *rand.Rand
	ready  *atomic.Pointer[[]int]
	known  *atomic.Pointer[operations]

	transports []*http.Transport
	// stays is set for callers that wait for every answer and use the key that stays.
	stays    bool
	node     int
	number   int
	attempts []attempt
}

func newCaller(name string, seed uint64, s *harness.EdgeSite, ready *atomic.Pointer[[]int], known *atomic.Pointer[operations]) *caller {
	c := &caller{name: name, site: s, random: rand.New(rand.NewPCG(seed, 1)), ready: ready, known: known}
	for range s.Nodes {
		c.transports = append(c.transports, &http.Transport{MaxConnsPerHost: 1, DisableCompression: true})
	}
	return c
}

// run sends requests until ctx ends, and returns them.
func (c *caller) run(ctx context.Context) []attempt {
	for ctx.Err() == nil {
		c.choose()
		c.attempt(c.route())
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.random.Int64N(int64(thinkTime)))):
		}
	}
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
	return c.attempts
}

// choose picks the node of the next request: the last one, or one that the balancer gives.
func (c *caller) choose() {
	last := len(c.attempts) - 1
	if last >= 0 && c.attempts[last].whole() && c.random.Float64() < stayShare {
		return
	}
	c.transports[c.node].CloseIdleConnections()
	ready := *c.ready.Load()
	if len(ready) == 0 {
		c.node = c.random.IntN(len(c.site.Nodes))
		return
	}
	c.node = ready[c.random.IntN(len(ready))]
}

// route picks the route of the next request.
func (c *caller) route() string {
	if route := pick(c.random, mix); route != "" {
		return route
	}
	if added := c.known.Load().added; len(added) > 0 {
		return added[c.random.IntN(len(added))]
	}
	return routeLookup
}

// key picks the key of the next request.
func (c *caller) key() string {
	known := c.known.Load()
	if c.stays {
		return known.keys[0]
	}
	if len(known.revoked) > 0 && c.random.Float64() < oldKeyShare {
		pick := c.random.IntN(len(known.revoked))
		for key := range known.revoked {
			if pick == 0 {
				return key
			}
			pick--
		}
	}
	return known.keys[c.random.IntN(len(known.keys))]
}

// attempt sends one request and notes what came of it.
func (c *caller) attempt(route string) {
	c.number++
	a := attempt{
		id: fmt.Sprintf("%s-%d", c.name, c.number), route: route, node: c.node, key: c.key(),
		path: fmt.Sprintf("/%s/%d", route, c.number),
	}
	method := http.MethodPost
	if !a.streams() && route != routeBooking {
		method = http.MethodGet
	}
	req := c.site.Request(c.site.Nodes[c.node], method, a.path, a.id)
	req.URL.Host = c.site.Nodes[c.node].CallersLink.Address()
	harness.SetEdgeAPIKey(req, a.key)
	harness.SetEdgeDeadline(req, attemptTimeout)
	timeout := attemptTimeout
	if !c.stays && c.random.Float64() < leaveShare {
		timeout = time.Duration(c.random.Int64N(int64(leaveAfter)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a.sentAt = time.Now()
	err := c.read(req.WithContext(ctx), &a)
	a.endedAt = time.Now()
	if err != nil {
		a.err = err.Error()
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			a.left, a.overdue = timeout < attemptTimeout, timeout == attemptTimeout
		}
	}
	c.attempts = append(c.attempts, a)
}

// read takes the answer.
func (c *caller) read(req *http.Request, a *attempt) error {
	resp, err := c.transports[c.node].RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	a.signed, a.echoed = harness.EdgeSignature(resp) != "", harness.EdgeRequestID(resp) == a.id
	if a.streams() && resp.StatusCode == http.StatusOK {
		return readEvents(resp.Body, a)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	a.body = string(body)
	return err
}

// readEvents reads a stream to its end.
func readEvents(body io.Reader, a *attempt) error {
	reader := bufio.NewReader(body)
	var e event
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF && line == "" {
			return nil
		}
		if err != nil {
			return err
		}
		switch content := strings.TrimSuffix(line, "\n"); {
		case content == "":
			a.events = append(a.events, e)
			e = event{}
		case strings.HasPrefix(content, "id: "):
			e.id = strings.TrimPrefix(content, "id: ")
		case strings.HasPrefix(content, "data: "):
			e.data = strings.TrimPrefix(content, "data: ")
		}
	}
}
