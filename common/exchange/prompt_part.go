package exchange

// PromptPart is one part of a prompt. Requests with the same first parts have the same beginning of the prompt.
type PromptPart struct {
	ID     string
	Tokens int
}
