package engine

// progress is the state of a generation that is published to its readers.
type progress struct {
	// produced is the number of output tokens so far.
	produced int
	state    generationState
	// finishReason is valid once the generation is completed.
	finishReason string
}
