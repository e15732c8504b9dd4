package stream

// Acceptance is the result of Assembler.Accept for one part of a generation.
type Acceptance uint8

const (
	// Deliver means that the part is the next one to deliver.
	Deliver Acceptance = iota
	// Duplicate means that the part was delivered before, which happens after a resume.
	Duplicate
	// Gap means that an earlier part is missing, so the stream must be resumed.
	Gap
)
