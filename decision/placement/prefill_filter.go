package placement

// maxPendingPrefill is the maximum number of prompt tokens without a first output token on an endpoint that computes several
// prompts. An engine computes prompts in the same steps as the tokens of running answers, so each prompt delays all running
// answers, and the delays of several prompts in one step add up.
const maxPendingPrefill = 384

// PrefillFilter permits the endpoints on which the prompts being computed, including the new one, have at most
// maxPendingPrefill tokens. An endpoint that computes no prompt is always permitted.
type PrefillFilter struct{}

// Permits implements Filter.
func (PrefillFilter) Permits(r *Request, c *Candidate) bool {
	return c.Prefill == 0 || c.Prefill+r.PromptTokens <= maxPendingPrefill
}
