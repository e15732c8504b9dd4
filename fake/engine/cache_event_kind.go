package engine

// CacheEventKind says what happened to a block of the prefix cache.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	// CacheCleared means that the cache is empty, since the engine restarted; its block is 0.
	CacheCleared CacheEventKind = "cleared"
)
