package engine

// ending says how a generation ended.
type ending uint8

const (
	running ending = iota
	completed
	cancelled
	crashed
)
