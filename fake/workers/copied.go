package workers

// copied is a copy of a run's memory at an engine.
type copied struct {
	// events is the number of events that the run had made when the copy was last brought up to date.
	events int
	// generation is that of the run.
	generation int
}
