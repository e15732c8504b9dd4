package backing

// Condition holds when the key's last write has the given revision; 0 means that the key does not exist.
type Condition struct {
	Key         string
	ModRevision int64
}
