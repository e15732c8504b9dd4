package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/common/verdict"
)

// caller sends requests to the nodes and measures the responses.
type caller struct {
	client *http.Client
	// urls are the base URLs of the nodes; requests are sent to them in turn.
	urls     []string
	workload Workload
	start    time.Time
}

// completionBody is the body of a completion request.
type completionBody struct {
	Model    string           `json:"model"`
	Stream   bool             `json:"stream"`
	Messages []requestMessage `json:"messages"`
}

// requestMessage is one message of a completionBody.
type requestMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// call sends one request and returns its measurements. The index of the request selects the node.
func (c *caller) call(ctx context.Context, index int, a Arrival) Sample {
	s := Sample{Arrival: a, Measured: a.At >= c.workload.Warmup}
	resp, err := c.client.Do(c.request(ctx, c.urls[index%len(c.urls)], a))
	if err != nil {
		s.Reason = "connection"
		s.recordEnd(c.start)
		return s
	}
	defer resp.Body.Close()
	s.Status, s.Verdict = resp.StatusCode, resp.Header.Get(verdict.Header)
	switch {
	case resp.StatusCode != http.StatusOK:
		s.Reason = readErrorCode(resp.Body)
	case a.IsOrder || a.Class.NonStreaming:
		c.readBody(&s, resp.Body)
	default:
		c.readStream(&s, resp.Body)
	}
	s.recordEnd(c.start)
	return s
}

func (s *Sample) recordEnd(start time.Time) {
	s.EndedAt = time.Since(start)
	s.Total = s.EndedAt - s.Arrival.At
}

func (c *caller) request(ctx context.Context, url string, a Arrival) *http.Request {
	method, path, body := http.MethodPost, "/v1/chat/completions", ""
	switch {
	case a.IsOrder && a.Key == "":
		method, path = http.MethodGet, "/services/"+c.workload.Orders.Service+"/stock"
	case a.IsOrder:
		path, body = "/services/"+c.workload.Orders.Service+"/reserve", `{"key":"`+a.Key+`"}`
	default:
		encoded, _ := json.Marshal(completionBody{
			Model: c.workload.Model, Stream: !a.Class.NonStreaming,
			Messages: []requestMessage{{Role: "user", Content: a.Prompt}},
		})
		body = string(encoded)
	}
	// Ignores the error, which occurs only if the base URL or the name of the plain service is invalid.
	req, _ := http.NewRequestWithContext(ctx, method, url+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+a.Workspace.Key)
	if a.Key != "" {
		req.Header.Set("Idempotency-Key", a.Key)
		req.GetBody = nil
	}
	return req
}

func (c *caller) readBody(s *Sample, body io.Reader) {
	data, err := io.ReadAll(body)
	s.Complete = err == nil
	s.FirstToken = time.Since(c.start) - s.Arrival.At
	var response struct {
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &response) == nil {
		s.Tokens = response.Usage.CompletionTokens
	}
}

// readStream reads an event stream to its end. It checks that event ids belong to one generation and are consecutive.
func (c *caller) readStream(s *Sample, body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), 1<<20)
	generation, next := "", 0
	var last time.Duration
	for lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			prefix, number, _ := strings.Cut(id, ":")
			n, err := strconv.Atoi(number)
			if err != nil || n != next || (generation != "" && generation != prefix) {
				s.SequenceErrors++
			}
			generation, next = prefix, n+1
			continue
		}
		switch {
		case line == "data: [DONE]":
			s.Complete = true
		case line == "event: error":
			s.Reason = string(verdict.ReasonIncomplete)
		case strings.HasPrefix(line, "data: ") && s.Reason == "":
			now := time.Since(c.start)
			if s.Tokens == 0 {
				s.FirstToken = now - s.Arrival.At
			} else {
				s.Intervals = append(s.Intervals, now-last)
			}
			last = now
			s.Tokens++
		}
	}
}

// maxErrorBodyBytes bounds the bytes read from an error response.
const maxErrorBodyBytes = 64 << 10

func readErrorCode(body io.Reader) string {
	var response struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.NewDecoder(io.LimitReader(body, maxErrorBodyBytes)).Decode(&response) != nil {
		return "unknown"
	}
	return response.Error.Code
}
