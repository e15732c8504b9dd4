package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// requestDeadline is the deadline of a request of the deployment's long streams.
const requestDeadline = 39 * time.Second

// attempt is one request of a caller and what the caller got.
type attempt struct {
	id, path string
	node     *node
	// key is the API key of the request.
	key string
	// stoppingSince is the time of the SIGTERM that the node had got before the request; zero if there was none.
	stoppingSince time.Time
	sent, ended   time.Time
	status        int
	signed        bool
	events        int
	retryAfter    time.Duration
	// err is the error that ended the answer early; empty for a complete answer.
	err string
}

// served reports whether the caller got a complete answer of a worker.
func (a *attempt) served() bool { return a.status == http.StatusOK && a.signed && a.err == "" }

func (a *attempt) String() string {
	result := fmt.Sprintf("status %d, %d events", a.status, a.events)
	if a.err != "" {
		result += ", " + a.err
	}
	return fmt.Sprintf("%s %s at %s: %s after %v", a.id, a.path, a.node.name, result, a.ended.Sub(a.sent).Round(time.Millisecond))
}

// send sends one request on a new connection and reads the answer. The hint is the caller's estimate of the answer's length.
func (s *site) send(n *node, id, path string, promptTokens, answer, longest, hint int) *attempt {
	return s.sendWithKey(n, apiKey, id, path, promptTokens, answer, longest, hint)
}

// sendWithKey sends one request like send, with another API key.
func (s *site) sendWithKey(n *node, key, id, path string, promptTokens, answer, longest, hint int) *attempt {
	a := &attempt{id: id, path: path, node: n, key: key, stoppingSince: n.stoppingSince(), sent: time.Now()}
	s.log.add("%s %s is sent to %s", id, path, n.name)
	a.read(s.ctx, promptTokens, answer, longest, hint)
	a.ended = time.Now()
	s.log.add("answer of %s", a)
	return a
}

func (a *attempt) read(ctx context.Context, promptTokens, answer, longest, hint int) {
	ctx, cancel := context.WithTimeout(ctx, requestDeadline)
	defer cancel()
	body, _ := json.Marshal(prompt{Answer: answer})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.node.callers+a.path, bytes.NewReader(body))
	if err != nil {
		a.err = err.Error()
		return
	}
	request.Host = hostName
	for name, value := range map[string]string{
		"X-Request-Id": a.id, "X-Model": "m", "X-Token-Usage": fmt.Sprintf("%d,%d", promptTokens, longest),
		"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:79,%x:%d", a.id, promptTokens-79), "X-Length-Hint": strconv.Itoa(hint),
		"X-Deadline-Ms": strconv.FormatInt(requestDeadline.Milliseconds(), 10), "Authorization": "Bearer " + a.key,
	} {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableCompression: true, MaxIdleConns: 1}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		a.err = err.Error()
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.signed = response.StatusCode, response.Header.Get("X-Server-Signature") != ""
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id: ") {
			a.events++
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			a.err = err.Error()
			return
		}
	}
}
