package engine

// Event is an element of a Stream. The last event of a stream is an EventEnd or EventFailed, unless its context ends first.
type Event struct {
	Kind EventKind
	// Number is the index of the part in the generation, from 0.
	Number int
	// Data is the JSON of the part.
	Data []byte
	// Finished is set if the part has the finish reason of the generation.
	Finished bool
	// Failure is set for EventFailed.
	Failure *Failure
}
