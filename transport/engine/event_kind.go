package engine

// EventKind says what an Event is.
type EventKind uint8

const (
	// EventPart is one part of the generation.
	EventPart EventKind = iota + 1
	// EventEnd is the terminal mark.
	EventEnd
	// EventFailed ends the stream without a terminal mark.
	EventFailed
)
