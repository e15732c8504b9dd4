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
	// attemptTimeout is the caller's deadline for one request, longTimeout that for a long note.
	attemptTimeout = 6 * time.Second
	longTimeout    = 14 * time.Second
	// longShare is the share of notes that are long. Their callers estimate the length far too low, up to maxLengthHint tokens.
	longShare     = 0.3
	maxLengthHint = 100
	// maxThinkTime limits the pause between two requests of a caller.
	maxThinkTime = 60 * time.Millisecond
	// sameNodeShare is the share of requests sent to the previous request's node over the open connection, even if the
	// node is not ready.
	sameNodeShare = 0.7
	// abandonShare is the share of requests that the caller abandons, at most maxAbandonDelay after sending them.
	abandonShare    = 0.06
	maxAbandonDelay = 300 * time.Millisecond
	// revokedKeyShare is the share of requests that use a revoked key, if there is one.
	revokedKeyShare = 0.1
	// uploadBytes is the size of an upload, which every uploadInterval-th request to a route without streams is if the plan has uploads.
	uploadBytes    = 8 << 20
	uploadInterval = 2
	// maxBodyBytes limits the size of a non-streamed answer.
	maxBodyBytes = 1 << 20
)

// routeWeights holds the relative call frequency of each route. The empty name stands for the added routes.
var routeWeights = []weighted[string]{{routeNote, 20}, {routeReply, 15}, {routeBooking, 35}, {routeLookup, 25}, {"", 5}}

// caller is the task of one caller. It sends its requests sequentially.
type caller struct {
	name   string
	site   *harness.EdgeSite
	random *rand.Rand
	ready  *atomic.Pointer[[]int]
	state  *atomic.Pointer[operatorState]

	transports []*http.Transport
	// uploads is set if the caller sends uploads.
	uploads bool
	// probe is set for callers that never abandon a request and always use the permanent key.
	probe        bool
	node         int
	requestCount int
	attempts     []attempt
}

func newCaller(
	name string, seed uint64, s *harness.EdgeSite, ready *atomic.Pointer[[]int], state *atomic.Pointer[operatorState],
) *caller {
	c := &caller{name: name, site: s, random: rand.New(rand.NewPCG(seed, 1)), ready: ready, state: state}
	for range s.Nodes {
		c.transports = append(c.transports, &http.Transport{MaxConnsPerHost: 1, DisableCompression: true})
	}
	return c
}

// run sends requests until ctx is done, and returns the attempts.
func (c *caller) run(ctx context.Context) []attempt {
	for ctx.Err() == nil {
		c.chooseNode()
		c.sendRequest(c.chooseRoute())
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.random.Int64N(int64(maxThinkTime)))):
		}
	}
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
	return c.attempts
}

// chooseNode picks the node of the next request: the previous node, or a random ready one.
func (c *caller) chooseNode() {
	last := len(c.attempts) - 1
	if last >= 0 && c.attempts[last].complete() && c.random.Float64() < sameNodeShare {
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

// chooseRoute draws the route of the next request.
func (c *caller) chooseRoute() string {
	if route := pick(c.random, routeWeights); route != "" {
		return route
	}
	if added := c.state.Load().added; len(added) > 0 {
		return added[c.random.IntN(len(added))]
	}
	return routeLookup
}

// chooseKey draws the API key of the next request.
func (c *caller) chooseKey() string {
	state := c.state.Load()
	if c.probe {
		return state.keys[0]
	}
	if len(state.revoked) > 0 && c.random.Float64() < revokedKeyShare {
		pick := c.random.IntN(len(state.revoked))
		for key := range state.revoked {
			if pick == 0 {
				return key
			}
			pick--
		}
	}
	return state.keys[c.random.IntN(len(state.keys))]
}

// sendRequest sends one request and records the attempt.
func (c *caller) sendRequest(route string) {
	c.requestCount++
	a := attempt{
		id: fmt.Sprintf("%s-%d", c.name, c.requestCount), route: route, node: c.node, key: c.chooseKey(),
		path: fmt.Sprintf("/%s/%d", route, c.requestCount),
	}
	deadline := attemptTimeout
	long := route == routeNote && !c.probe && c.random.Float64() < longShare
	if long {
		a.path, deadline = fmt.Sprintf("/%s%s/%d", route, longSegment, c.requestCount), longTimeout
	}
	method := http.MethodPost
	if !a.isStream() && route != routeBooking {
		method = http.MethodGet
	}
	req := c.site.Request(c.site.Nodes[c.node], method, a.path, a.id)
	req.URL.Host = c.site.Nodes[c.node].CallersLink.Address()
	if c.uploads && method == http.MethodPost && !a.isStream() && c.requestCount%uploadInterval == 0 {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", uploadBytes))), uploadBytes
	}
	harness.SetEdgeAPIKey(req, a.key)
	harness.SetEdgeDeadline(req, deadline)
	if long {
		harness.SetEdgeLengthHint(req, 1+c.random.IntN(maxLengthHint))
	}
	timeout := deadline
	if !c.probe && !long && c.random.Float64() < abandonShare {
		timeout = time.Duration(c.random.Int64N(int64(maxAbandonDelay)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a.sentAt = time.Now()
	err := c.readAnswer(req.WithContext(ctx), &a)
	a.endedAt = time.Now()
	if err != nil {
		a.err = err.Error()
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			a.abandoned, a.deadlineExceeded = timeout < deadline, timeout == deadline
		}
	}
	c.attempts = append(c.attempts, a)
}

// readAnswer sends the request and reads the response into a.
func (c *caller) readAnswer(req *http.Request, a *attempt) error {
	resp, err := c.transports[c.node].RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	a.hasSignature, a.echoesID = harness.EdgeSignature(resp) != "", harness.EdgeRequestID(resp) == a.id
	if a.isStream() && resp.StatusCode == http.StatusOK {
		return readEvents(resp.Body, a)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	a.body = string(body)
	return err
}

// readEvents reads server-sent events until the stream ends.
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
