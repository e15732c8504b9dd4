package engine

// Event is what a Stream sends. EventEnd and EventFailed are the last ones.
type Event struct {
	Kind EventKind
	// Number is the part's place in the generation, from 0.
	Number int
	// Data is the JSON of the part.
	Data []byte
	// Finished is set for a part that carries the reason why the generation ended.
	Finished bool
	// Failure is set for EventFailed.
	Failure *Failure
}
