package placement

// Request holds the properties of a request that placement depends on.
type Request struct {
	// Model is empty for plain services.
	Model string
	// Exclude lists the ids of endpoints that must not be chosen.
	Exclude []string
	// Alone is set if the request must run alone on its endpoint.
	Alone bool
	// PrefixHashes are the hashes of the prompt's leading blocks, in order.
	PrefixHashes []uint64
	PromptTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// Copy is set if the memory of a run is copied to the endpoint, instead of computing the prompt there.
	Copy bool
	// Memory is the expected memory of the request in tokens.
	Memory Forecast
}
