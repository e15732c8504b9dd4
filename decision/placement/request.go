package placement

// Request is what placement needs to know of one request.
type Request struct {
	// Model is empty for plain services.
	Model string
	// Exclude lists the ids of endpoints that must not be chosen.
	Exclude []string
	// Alone asks for an endpoint that runs nothing else.
	Alone bool
	// PrefixHashes are the hashes of the prompt's leading blocks, in order.
	PrefixHashes []uint64
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Memory is the expected memory of the request.
	Memory Forecast
}
