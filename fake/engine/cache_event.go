package engine

// CacheEvent is one change of the prefix cache. A gap in the numbers stands for events that were dropped.
type CacheEvent struct {
	Number int64          `json:"number"`
	Kind   CacheEventKind `json:"kind"`
	// Block is the hash of the prompt up to the end of the block, in hexadecimal.
	Block string `json:"block"`
}
