package engine

// CacheEventKind is the kind of a change of the prefix cache.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	// CacheCleared means that the engine started with an empty cache; the block of the event is 0.
	CacheCleared CacheEventKind = "cleared"
)
