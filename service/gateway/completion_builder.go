package gateway

import (
	"encoding/json"
	"slices"
	"strings"
)

// completionBuilder builds the answer to a non-streaming request from the parts of a stream.
type completionBuilder struct {
	chat bool
	// firstPart provides the id, the time of creation and the model of the answer.
	firstPart partBody
	usage     json.RawMessage
	choices   map[int]*choiceBuilder
}

// partBody is one part of a stream.
type partBody struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []partChoice    `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

// partChoice is one choice of a partBody.
type partChoice struct {
	Index        int       `json:"index"`
	Text         string    `json:"text"`
	Delta        partDelta `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

// partDelta is the addition of a chat part to a message.
type partDelta struct {
	Role      string         `json:"role"`
	Content   string         `json:"content"`
	Refusal   string         `json:"refusal"`
	ToolCalls []partToolCall `json:"tool_calls"`
}

// partToolCall is the addition of a chat part to a tool call.
type partToolCall struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// choiceBuilder builds one choice of the answer.
type choiceBuilder struct {
	role         string
	content      strings.Builder
	refusal      strings.Builder
	toolCalls    []partToolCall
	finishReason *string
}

func newCompletionBuilder(chat bool) *completionBuilder {
	return &completionBuilder{chat: chat, choices: map[int]*choiceBuilder{}}
}

// add appends one part.
func (a *completionBuilder) add(data []byte) error {
	var p partBody
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if a.firstPart.ID == "" {
		a.firstPart = p
	}
	if len(p.Usage) > 0 && string(p.Usage) != "null" {
		a.usage = p.Usage
	}
	for _, c := range p.Choices {
		a.choiceAt(c.Index).add(c)
	}
	return nil
}

func (a *completionBuilder) choiceAt(index int) *choiceBuilder {
	c, ok := a.choices[index]
	if !ok {
		c = &choiceBuilder{role: "assistant"}
		a.choices[index] = c
	}
	return c
}

func (c *choiceBuilder) add(p partChoice) {
	c.content.WriteString(p.Text)
	c.content.WriteString(p.Delta.Content)
	c.refusal.WriteString(p.Delta.Refusal)
	if p.Delta.Role != "" {
		c.role = p.Delta.Role
	}
	if p.FinishReason != nil {
		c.finishReason = p.FinishReason
	}
	for _, t := range p.Delta.ToolCalls {
		c.addToolCall(t)
	}
}

func (c *choiceBuilder) addToolCall(t partToolCall) {
	i := slices.IndexFunc(c.toolCalls, func(known partToolCall) bool { return known.Index == t.Index })
	if i < 0 {
		c.toolCalls = append(c.toolCalls, t)
		return
	}
	c.toolCalls[i].Function.Name += t.Function.Name
	c.toolCalls[i].Function.Arguments += t.Function.Arguments
}

// build returns the answer in the format of OpenAI's API.
func (a *completionBuilder) build() map[string]any {
	indices := make([]int, 0, len(a.choices))
	for i := range a.choices {
		indices = append(indices, i)
	}
	slices.Sort(indices)
	choices := make([]any, 0, len(indices))
	for _, i := range indices {
		choices = append(choices, a.choices[i].build(i, a.chat))
	}
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
	}
	answer := map[string]any{
		"id": a.firstPart.ID, "object": object, "created": a.firstPart.Created, "model": a.firstPart.Model, "choices": choices,
	}
	if a.usage != nil {
		answer["usage"] = a.usage
	}
	return answer
}

// build returns the choice in the format of OpenAI's API.
func (c *choiceBuilder) build(index int, chat bool) map[string]any {
	if !chat {
		return map[string]any{
			"index": index, "text": c.content.String(), "finish_reason": c.finishReason, "logprobs": nil,
		}
	}
	m := map[string]any{"role": c.role, "content": c.content.String()}
	if c.refusal.Len() > 0 {
		m["refusal"] = c.refusal.String()
	}
	if len(c.toolCalls) > 0 {
		m["tool_calls"] = c.toolCalls
	}
	return map[string]any{"index": index, "message": m, "finish_reason": c.finishReason, "logprobs": nil}
}
