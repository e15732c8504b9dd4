package engine

// part is the JSON of one part of a streamed answer, or of a complete answer that is not streamed.
type part struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice is the only choice of an answer.
type choice struct {
	Index        int      `json:"index"`
	Delta        *content `json:"delta,omitempty"`
	Message      *content `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// content is a message, or a delta of one.
type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// usage holds the token counts of an answer.
type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// newPart returns a part without choices.
func (g *generation) newPart(object string) part {
	return part{ID: g.id, Object: object, Created: g.created, Model: g.model, Choices: []choice{}}
}

// streamObject returns the object type of the parts of a stream.
func (g *generation) streamObject() string {
	if g.chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

// tokenPart returns the part for token n.
func (g *generation) tokenPart(n int, p progress) part {
	out := g.newPart(g.streamObject())
	c, word := choice{}, g.tokenText(n)
	if g.chat {
		c.Delta = &content{Content: word}
		if n == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &word
	}
	if p.state == completed && n == p.produced-1 {
		c.FinishReason = &p.finishReason
	}
	out.Choices = append(out.Choices, c)
	return out
}

// usagePart returns the part with the token counts, which follows the last token.
func (g *generation) usagePart(p progress) part {
	out := g.newPart(g.streamObject())
	out.Usage = g.usage(p)
	return out
}

func (g *generation) usage(p progress) *usage {
	produced := int64(p.produced)
	return &usage{PromptTokens: g.prompt.tokens, CompletionTokens: produced, TotalTokens: g.prompt.tokens + produced}
}

// answerPart returns the complete answer of a completed generation.
func (g *generation) answerPart(p progress) part {
	var text string
	for n := range p.produced {
		text += g.tokenText(n)
	}
	c := choice{FinishReason: &p.finishReason}
	object := "text_completion"
	if g.chat {
		object = "chat.completion"
		c.Message = &content{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	out := g.newPart(object)
	out.Choices = append(out.Choices, c)
	out.Usage = g.usage(p)
	return out
}
