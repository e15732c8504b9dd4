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

// Ask sends a chat completion request through a node and reads the complete answer, either as a stream or as one JSON body.
func (s *Site) Ask(ctx context.Context, n *Node, prompt string, stream bool) Answer {
	return s.AskWithProgress(ctx, n, prompt, stream, nil)
}

// AskWithProgress is like Ask and calls onWord, unless it is nil, after each event of a stream with the number of words
// received so far.
func (s *Site) AskWithProgress(ctx context.Context, n *Node, prompt string, stream bool, onWord func(count int)) Answer {
	body, err := json.Marshal(map[string]any{
		"model": Model, "stream": stream, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	s.requireNoError(err, "body")
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
		a.ErrorBody, a.Err = string(data), err
	case stream:
		a.readStream(resp.Body, onWord)
	default:
		a.readJSON(resp.Body)
	}
	return a
}

// send posts a body with the workspace's API key.
func (s *Site) send(
	ctx context.Context, n *Node, path string, body []byte, header map[string]string,
) (*http.Response, error) {
	req, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+n.Settings.Listen.Callers+path, strings.NewReader(string(body)))
	s.requireNoError(err, path)
	req.Header.Set("Authorization", "Bearer "+WorkspaceKey)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return http.DefaultClient.Do(req)
}

// answerPart holds the decoded fields of a stream part or of a non-streamed answer.
type answerPart struct {
	Choices []struct {
		Delta        struct{ Content string }
		Message      struct{ Content string }
		FinishReason string `json:"finish_reason"`
	}
}

// readStream reads server-sent events until the body ends.
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
				a.TimeToFirstWord = now.Sub(began)
			} else {
				a.LongestGap = max(a.LongestGap, now.Sub(last))
			}
			last = now
			a.addEvent(id, event, value)
			if onWord != nil {
				onWord(len(a.Words))
			}
		case "":
			id, event = "", ""
		}
	}
	a.Err = scanner.Err()
}

// addEvent records one event of a stream.
func (a *Answer) addEvent(id, event, data string) {
	switch {
	case event == "error":
		a.ErrorBody = data
		return
	case data == "[DONE]":
		a.Done = true
		return
	}
	var p answerPart
	if err := json.Unmarshal([]byte(data), &p); err != nil {
		a.ErrorBody = data
		return
	}
	for _, c := range p.Choices {
		generation, number, _ := strings.Cut(id, ":")
		n, err := strconv.Atoi(number)
		if err != nil {
			n = -1
		}
		a.Generation = generation
		a.PartNumbers = append(a.PartNumbers, n)
		a.Words = append(a.Words, strings.Fields(c.Delta.Content)...)
		if c.FinishReason != "" {
			a.FinishReason = c.FinishReason
		}
	}
}

// readJSON reads a non-streamed answer.
func (a *Answer) readJSON(body io.Reader) {
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
