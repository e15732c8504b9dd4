package gateway

import (
	"encoding/json"

	"azuredyke.dev/azuredyke/common/verdict"
)

// bytesPerToken is the typical length of a token of English text, for estimating the tokens of a prompt.
const bytesPerToken = 4

// generationRequest holds the parameters of a completion request that the gateway evaluates, and the body for the endpoint.
type generationRequest struct {
	model     string
	stream    bool
	maxTokens int
	// includeUsage is set when the caller asked for the usage part of a stream.
	includeUsage bool
	// promptTokens is an estimate from the length of the prompt.
	promptTokens int
	// prefixHashes are the hashes of the prompt's prefixes, for placement by prefix affinity.
	prefixHashes []uint64
	// body is the caller's body, changed to request a stream with the usage part.
	body []byte
}

// parseGenerationRequest decodes and checks the body of a completion request.
func parseGenerationRequest(data []byte) (generationRequest, *verdict.Error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return generationRequest{}, invalidRequest("", "the body is not a JSON object: %v", err)
	}
	g := generationRequest{promptTokens: (len(fields["messages"]) + len(fields["prompt"])) / bytesPerToken}
	if verr := g.readFields(fields); verr != nil {
		return generationRequest{}, verr
	}
	g.prefixHashes = prefixHashes(fields["messages"], fields["prompt"])
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	var err error
	if g.body, err = json.Marshal(fields); err != nil {
		return generationRequest{}, invalidRequest("", "the body cannot be passed on: %v", err)
	}
	return g, nil
}

func (g *generationRequest) readFields(fields map[string]json.RawMessage) *verdict.Error {
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	for name, target := range map[string]any{
		"model": &g.model, "stream": &g.stream, "max_tokens": &g.maxTokens, "stream_options": &options,
	} {
		raw, ok := fields[name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, target); err != nil {
			return invalidRequest(name, "%s has the wrong type: %v", name, err)
		}
	}
	if raw, ok := fields["max_completion_tokens"]; ok {
		if err := json.Unmarshal(raw, &g.maxTokens); err != nil {
			return invalidRequest("max_completion_tokens", "max_completion_tokens has the wrong type: %v", err)
		}
	}
	g.includeUsage = options.IncludeUsage
	if g.model == "" {
		return invalidRequest("model", "model is required")
	}
	if g.maxTokens < 0 {
		return invalidRequest("max_tokens", "max_tokens must not be negative")
	}
	if len(fields["messages"]) == 0 && len(fields["prompt"]) == 0 {
		return invalidRequest("messages", "messages or prompt is required")
	}
	return nil
}

func invalidRequest(field, format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonInvalid, format, args...).WithField(field)
}
