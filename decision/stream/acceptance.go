package stream

// Acceptance says what to do with a part of a generation.
type Acceptance uint8

const (
	// Deliver means that the part is the next one.
	Deliver Acceptance = iota
	// Duplicate means that the part was delivered before, as happens after a resume.
	Duplicate
	// Gap means that a part is missing; the stream must be resumed.
	Gap
)
