package engine

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"azuredyke.dev/azuredyke/transport/engine"
)

// generateRequest is a decoded completion request.
type generateRequest struct {
	id           string
	model        string
	prompt       prompt
	chat         bool
	stream       bool
	includeUsage bool
	// maxTokens is 0 if the request sets no bound.
	maxTokens int
	priority  int
	fence     uint64
}

// generateBody is the JSON of a completion request.
type generateBody struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// parseGenerate decodes the body and the headers of a completion request.
func parseGenerate(r *http.Request, body []byte, blockTokens int64) (generateRequest, error) {
	var b generateBody
	if err := json.Unmarshal(body, &b); err != nil {
		return generateRequest{}, err
	}
	request := generateRequest{
		id: r.Header.Get(engine.HeaderRequestID), model: b.Model, chat: strings.HasSuffix(r.URL.Path, "/chat/completions"),
		stream: b.Stream, includeUsage: b.StreamOptions.IncludeUsage, maxTokens: max(b.MaxTokens, b.MaxCompletionTokens),
	}
	if request.id == "" {
		request.id = rand.Text()
	}
	request.priority, _ = strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	var text strings.Builder
	if request.chat {
		if len(b.Messages) == 0 {
			return generateRequest{}, errors.New("messages is empty")
		}
		for _, m := range b.Messages {
			text.WriteString(m.Role + ": " + contentText(m.Content) + "\n")
		}
	} else {
		text.WriteString(contentText(b.Prompt))
	}
	request.prompt = newPrompt(text.String(), blockTokens)
	return request, nil
}

// contentText returns the text of a content value, which is a string or a list of parts. Other JSON is returned
// unchanged.
func contentText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return string(raw)
	}
	for _, p := range parts {
		text += p.Text
	}
	return text
}
