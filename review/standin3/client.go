package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// clientDeadline is the time that a client waits for an answer.
	clientDeadline = 2500 * time.Millisecond
	// answerSlack is added to the deadline of a request as the bound of its connection.
	answerSlack = 500 * time.Millisecond
)

// sent is one request of a client.
type sent struct {
	id, key string
	at      time.Time
}

// answer is what a client has got. It is complete if err is nil.
type answer struct {
	status int
	body   string
	err    error
}

// client sends requests without retries.
type client struct {
	record *record
	http   http.Client
	last   atomic.Int64

	mu   sync.Mutex
	sent map[string]sent
	// received holds the answers by the id of the request.
	received map[string]answer
	// running counts the requests without an answer.
	running sync.WaitGroup
}

func newClient(r *record) *client {
	return &client{record: r, sent: map[string]sent{}, received: map[string]answer{}, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// nextID returns the id of a new request.
func (c *client) nextID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+c.last.Add(1)) }

// send sends a lookup with an API key to a node, without waiting for the answer.
func (c *client) send(n *node, key string) {
	id := c.nextID()
	c.mu.Lock()
	c.sent[id] = sent{id: id, key: key, at: time.Now()}
	c.mu.Unlock()
	c.record.writef("client sends request %s with the key %s to %s", id, key, n.name)
	c.running.Go(func() { c.ask(n, http.MethodGet, "/consulta/2f", id, key, clientDeadline, "", nil) })
}

// ask sends a request to a node and waits for the answer.
func (c *client) ask(n *node, method, path, id, key string, deadline time.Duration, body string, header map[string]string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+answerSlack)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, strings.NewReader(body))
	if err != nil {
		c.record.writef("request %s: %v", id, err)
		return
	}
	request.Host = hostName
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.record.writef("client gets no answer to %s: %v", id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	received, err := io.ReadAll(response.Body)
	c.mu.Lock()
	c.received[id] = answer{status: response.StatusCode, body: string(received), err: err}
	c.mu.Unlock()
	if err != nil {
		c.record.writef("client gets an answer to %s that breaks off after %d bytes: %v", id, len(received), err)
		return
	}
	c.record.writef("client gets %d for %s, signature %q, limit %q", response.StatusCode, id, response.Header.Get("X-Server-Signature"),
		response.Header.Get("Server-Limit"))
}

// request returns a request that was sent.
func (c *client) request(id string) sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id]
}

// answers returns the answers that were received, by the id of the request.
func (c *client) answers() map[string]answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.received)
}

// sendFor sends requests with each key to each node at an interval for some time.
func (c *client) sendFor(d, interval time.Duration, nodes []*node, keys ...string) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-tick.C {
		for _, n := range nodes {
			for _, key := range keys {
				c.send(n, key)
			}
		}
	}
}
