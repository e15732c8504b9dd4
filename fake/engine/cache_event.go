package engine

// CacheEvent is one change of the prefix cache. Numbers that are missing were lost.
type CacheEvent struct {
	Number int64          `json:"number"`
	Kind   CacheEventKind `json:"kind"`
	// Block is the hash of the block and of the text before it, in hexadecimal.
	Block string `json:"block"`
}
