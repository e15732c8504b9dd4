package placement

// maxPrefill is the number of prompt tokens that may wait for their first output token on an endpoint that also decodes.
// An engine computes prompts in the same steps as the tokens of running answers, so each prompt delays all of them; several
// at once add up in one step.
const maxPrefill = 384

// PrefillFilter permits the endpoints on which few other prompts are being computed. An endpoint that computes none always
// takes one.
type PrefillFilter struct{}

// Permits implements Filter.
func (PrefillFilter) Permits(r *Request, c *Candidate) bool {
	return c.Prefill == 0 || c.Prefill+r.PromptTokens <= maxPrefill
}
