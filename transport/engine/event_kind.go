package engine

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// EventPart is one part of the generation.
	EventPart EventKind = iota + 1
	// EventEnd is the terminator, which ends a complete stream.
	EventEnd
	// EventFailed is a failure before the terminator.
	EventFailed
)
