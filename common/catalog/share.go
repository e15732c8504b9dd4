package catalog

// Share is the part of a route's requests that a service takes.
type Share struct {
	Service string
	Weight  uint64
}
