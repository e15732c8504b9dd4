package engine

// generationState is the state of a generation: running, or how it ended.
type generationState uint8

const (
	running generationState = iota
	completed
	cancelled
	crashed
)
