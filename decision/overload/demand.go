package overload

// Demand is the sum of requests that wait for engines of a service.
type Demand struct {
	Requests int `cbor:"1,keyasint"`
	// Tokens is the expected memory, PromptTokens the size of the prompts.
	Tokens       int `cbor:"2,keyasint"`
	PromptTokens int `cbor:"3,keyasint"`
	// LargestTokens and LargestPrompt are the largest values of one request.
	LargestTokens int `cbor:"4,keyasint"`
	LargestPrompt int `cbor:"5,keyasint"`
}

// Add adds one waiting request.
func (d *Demand) Add(tokens, promptTokens int) {
	d.Merge(Demand{Requests: 1, Tokens: tokens, PromptTokens: promptTokens, LargestTokens: tokens, LargestPrompt: promptTokens})
}

// Merge adds the demand o.
func (d *Demand) Merge(o Demand) {
	d.Requests += o.Requests
	d.Tokens += o.Tokens
	d.PromptTokens += o.PromptTokens
	d.LargestTokens, d.LargestPrompt = max(d.LargestTokens, o.LargestTokens), max(d.LargestPrompt, o.LargestPrompt)
}

// without returns d less o, which was added. The largest values stay, because they may be those of another part.
func (d Demand) without(o Demand) Demand {
	d.Requests -= o.Requests
	d.Tokens -= o.Tokens
	d.PromptTokens -= o.PromptTokens
	if d.Requests <= 0 {
		return Demand{}
	}
	return d
}

// HeadroomTokens returns the memory that a less urgent request leaves free on each of a number of engines: an equal part of the
// demand, but at least one whole request.
func (d Demand) HeadroomTokens(engines int) int {
	return max(d.LargestTokens, d.Tokens/max(1, engines))
}

// HeadroomPrompt returns the prompt tokens that a less urgent request leaves uncomputed on each of a number of engines.
func (d Demand) HeadroomPrompt(engines int) int {
	return max(d.LargestPrompt, d.PromptTokens/max(1, engines))
}
