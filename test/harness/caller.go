package harness

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

// Ask sends a request to the model through a node and reads the answer to its end, as a stream or whole.
func (s *Site) Ask(ctx context.Context, n *Node, prompt string, stream bool) Answer {
	return s.AskWith(ctx, n, prompt, stream, nil)
}

// AskWith is Ask with a function that is called for each word of a stream as it arrives.
func (s *Site) AskWith(ctx context.Context, n *Node, prompt string, stream bool, onWord func(count int)) Answer {
	body, err := json.Marshal(map[string]any{
		"model": Model, "stream": stream, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	s.ok(err, "body")
	a := Answer{Prompt: prompt}
	resp, err := s.send(ctx, n, "/v1/chat/completions", body, nil)
	if err != nil {
		a.Err = err
		return a
	}
	defer resp.Body.Close()
	a.Status, a.Verdict = resp.StatusCode, resp.Header.Get(verdict.Header)
	switch {
	case resp.StatusCode != http.StatusOK:
		data, err := io.ReadAll(resp.Body)
		a.Failure, a.Err = string(data), err
	case stream:
		a.readStream(resp.Body, onWord)
	default:
		a.readWhole(resp.Body)
	}
	return a
}

// send posts a body with the workspace's key.
func (s *Site) send(
	ctx context.Context, n *Node, path string, body []byte, header map[string]string,
) (*http.Response, error) {
	req, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+n.Settings.Listen.Callers+path, strings.NewReader(string(body)))
	s.ok(err, path)
	req.Header.Set("Authorization", "Bearer "+WorkspaceKey)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return http.DefaultClient.Do(req)
}

// answerPart is what is read of a part, and of a whole answer.
type answerPart struct {
	Choices []struct {
		Delta        struct{ Content string }
		Message      struct{ Content string }
		FinishReason string `json:"finish_reason"`
	}
}

// readStream reads server-sent events to their end.
func (a *Answer) readStream(body io.Reader, onWord func(int)) {
	began := time.Now()
	last, id, event := began, "", ""
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		field, value, _ := strings.Cut(line, ": ")
		switch field {
		case "id":
			id = value
		case "event":
			event = value
		case "data":
			now := time.Now()
			if len(a.Words) == 0 {
				a.StartedAfter = now.Sub(began)
			} else {
				a.LongestGap = max(a.LongestGap, now.Sub(last))
			}
			last = now
			a.take(id, event, value)
			if onWord != nil {
				onWord(len(a.Words))
			}
		case "":
			id, event = "", ""
		}
	}
	a.Err = scanner.Err()
}

// take reads one event of a stream.
func (a *Answer) take(id, event, data string) {
	switch {
	case event == "error":
		a.Failure = data
		return
	case data == "[DONE]":
		a.Done = true
		return
	}
	var p answerPart
	if err := json.Unmarshal([]byte(data), &p); err != nil {
		a.Failure = data
		return
	}
	for _, c := range p.Choices {
		generation, number, _ := strings.Cut(id, ":")
		n, err := strconv.Atoi(number)
		if err != nil {
			n = -1
		}
		a.Generation = generation
		a.Numbers = append(a.Numbers, n)
		a.Words = append(a.Words, strings.Fields(c.Delta.Content)...)
		if c.FinishReason != "" {
			a.FinishReason = c.FinishReason
		}
	}
}

// readWhole reads an answer that is not a stream.
func (a *Answer) readWhole(body io.Reader) {
	var p answerPart
	if err := json.NewDecoder(body).Decode(&p); err != nil {
		a.Err = err
		return
	}
	for _, c := range p.Choices {
		a.Words = strings.Fields(c.Message.Content)
		a.FinishReason = c.FinishReason
		a.Done = true
	}
}
