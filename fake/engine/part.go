package engine

// part is the JSON of one part of a streamed answer, and of a whole answer.
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

// content is a text with the role of its author.
type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// usage counts tokens.
type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// base returns a part without choices.
func (g *generation) base(object string) part {
	return part{ID: g.id, Object: object, Created: g.created, Model: g.model, Choices: []choice{}}
}

// streamObject returns the object type of the parts of a stream.
func (g *generation) streamObject() string {
	if g.chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

// token returns the part of one token.
func (g *generation) token(n int, p progress) part {
	out := g.base(g.streamObject())
	c, word := choice{}, g.word(n)
	if g.chat {
		c.Delta = &content{Content: word}
		if n == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &word
	}
	if p.ending == completed && n == p.produced-1 {
		c.FinishReason = &p.finishReason
	}
	out.Choices = append(out.Choices, c)
	return out
}

// usagePart returns the part that follows the last token.
func (g *generation) usagePart(p progress) part {
	out := g.base(g.streamObject())
	out.Usage = g.usage(p)
	return out
}

func (g *generation) usage(p progress) *usage {
	produced := int64(p.produced)
	return &usage{PromptTokens: g.prompt.tokens, CompletionTokens: produced, TotalTokens: g.prompt.tokens + produced}
}

// whole returns the whole answer of a completed generation.
func (g *generation) whole(p progress) part {
	var text string
	for n := range p.produced {
		text += g.word(n)
	}
	c := choice{FinishReason: &p.finishReason}
	object := "text_completion"
	if g.chat {
		object = "chat.completion"
		c.Message = &content{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	out := g.base(object)
	out.Choices = append(out.Choices, c)
	out.Usage = g.usage(p)
	return out
}
