package soak

// heardKey identifies what one node has heard from one worker.
type heardKey struct {
	node   int
	worker string
}
