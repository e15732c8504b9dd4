package catalog

// Share is the weighted part of a route's requests that one service runs.
type Share struct {
	Service string
	Weight  uint64
}
