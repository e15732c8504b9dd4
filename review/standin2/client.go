package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id     string
	status int
	signed bool
	body   string
	// events is the number of events of a stream.
	events int
	err    error
	sent   time.Time
}

// newID returns a new request id.
func (s *site) newID() string {
	s.ids++
	return fmt.Sprintf("9c41d07be2a3%04x", s.ids)
}

// newClient returns a client that opens a connection for each request, to the frontend address of a node.
func newClient(n *node) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, n.callers)
		},
	}}
}

// newRequest returns a request with the headers that clients send. target is the path as it stands in the request line.
func newRequest(ctx context.Context, method, target, id string, deadline time.Duration) (*http.Request, error) {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("the body for " + target)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host+target, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	return request, nil
}

// send sends a plain request and reads its whole answer.
func (s *site) send(ctx context.Context, n *node, method, target, id string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	a := answer{id: id, sent: time.Now()}
	request, err := newRequest(ctx, method, target, id, deadline)
	if err != nil {
		a.err = err
		return a
	}
	response, err := newClient(n).Do(request)
	if err != nil {
		a.err = err
		s.record.log("client: %s %s at %s: %v", id, target, n.id, err)
		return a
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	a.status, a.body, a.err, a.signed = response.StatusCode, string(body), err, response.Header.Get("X-Server-Signature") != ""
	s.record.log("client: %s %s at %s: status %d, signature %q, %q, error %v", id, target, n.id, a.status, response.Header.Get("X-Server-Signature"), a.body, err)
	return a
}

// stream sends a request for a stream and reads it. onEvent is called after each event with its number.
func (s *site) stream(ctx context.Context, n *node, target, id string, deadline time.Duration, onEvent func(int)) answer {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	a := answer{id: id, sent: time.Now()}
	request, err := newRequest(ctx, http.MethodPost, target, id, deadline)
	if err != nil {
		a.err = err
		return a
	}
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Usage", fmt.Sprint(promptTokens, ",1400"))
	request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:47,91bd3f06:32,%s:%d", id[len(id)-8:], promptTokens-79))
	response, err := newClient(n).Do(request)
	if err != nil {
		a.err = err
		s.record.log("client: %s %s at %s: %v", id, target, n.id, err)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.signed = response.StatusCode, response.Header.Get("X-Server-Signature") != ""
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			a.events++
			if onEvent != nil {
				onEvent(a.events)
			}
		}
	}
	a.err = lines.Err()
	s.record.log("client: %s %s at %s: status %d, signature %q, %d events, error %v", id, target, n.id, a.status,
		response.Header.Get("X-Server-Signature"), a.events, a.err)
	return a
}
