package gateway

import (
	"encoding/json"
	"slices"
	"strings"
)

// wholeAnswer joins the parts of a stream into the answer that the caller would have got without a stream.
type wholeAnswer struct {
	chat    bool
	first   partBody
	usage   json.RawMessage
	choices map[int]*wholeChoice
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

// partDelta is what a chat part adds to a message.
type partDelta struct {
	Role      string         `json:"role"`
	Content   string         `json:"content"`
	Refusal   string         `json:"refusal"`
	ToolCalls []partToolCall `json:"tool_calls"`
}

// partToolCall is what a chat part adds to a tool call.
type partToolCall struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// wholeChoice collects one choice.
type wholeChoice struct {
	role      string
	content   strings.Builder
	refusal   strings.Builder
	toolCalls []partToolCall
	finish    *string
}

func newWholeAnswer(chat bool) *wholeAnswer {
	return &wholeAnswer{chat: chat, choices: map[int]*wholeChoice{}}
}

// add joins one part.
func (a *wholeAnswer) add(data []byte) error {
	var p partBody
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if a.first.ID == "" {
		a.first = p
	}
	if len(p.Usage) > 0 && string(p.Usage) != "null" {
		a.usage = p.Usage
	}
	for _, c := range p.Choices {
		a.choice(c.Index).add(c)
	}
	return nil
}

func (a *wholeAnswer) choice(index int) *wholeChoice {
	c, ok := a.choices[index]
	if !ok {
		c = &wholeChoice{role: "assistant"}
		a.choices[index] = c
	}
	return c
}

func (c *wholeChoice) add(p partChoice) {
	c.content.WriteString(p.Text)
	c.content.WriteString(p.Delta.Content)
	c.refusal.WriteString(p.Delta.Refusal)
	if p.Delta.Role != "" {
		c.role = p.Delta.Role
	}
	if p.FinishReason != nil {
		c.finish = p.FinishReason
	}
	for _, t := range p.Delta.ToolCalls {
		c.addToolCall(t)
	}
}

func (c *wholeChoice) addToolCall(t partToolCall) {
	i := slices.IndexFunc(c.toolCalls, func(known partToolCall) bool { return known.Index == t.Index })
	if i < 0 {
		c.toolCalls = append(c.toolCalls, t)
		return
	}
	c.toolCalls[i].Function.Name += t.Function.Name
	c.toolCalls[i].Function.Arguments += t.Function.Arguments
}

// finish returns the whole answer as OpenAI's API has it.
func (a *wholeAnswer) finish() map[string]any {
	indices := make([]int, 0, len(a.choices))
	for i := range a.choices {
		indices = append(indices, i)
	}
	slices.Sort(indices)
	choices := make([]any, 0, len(indices))
	for _, i := range indices {
		choices = append(choices, a.choices[i].body(i, a.chat))
	}
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
	}
	answer := map[string]any{
		"id": a.first.ID, "object": object, "created": a.first.Created, "model": a.first.Model, "choices": choices,
	}
	if a.usage != nil {
		answer["usage"] = a.usage
	}
	return answer
}

// body returns one choice of the whole answer.
func (c *wholeChoice) body(index int, chat bool) map[string]any {
	if !chat {
		return map[string]any{
			"index": index, "text": c.content.String(), "finish_reason": c.finish, "logprobs": nil,
		}
	}
	m := map[string]any{"role": c.role, "content": c.content.String()}
	if c.refusal.Len() > 0 {
		m["refusal"] = c.refusal.String()
	}
	if len(c.toolCalls) > 0 {
		m["tool_calls"] = c.toolCalls
	}
	return map[string]any{"index": index, "message": m, "finish_reason": c.finish, "logprobs": nil}
}
