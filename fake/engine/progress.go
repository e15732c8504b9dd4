package engine

// progress is what the readers of a generation see of it.
type progress struct {
	// produced is the number of tokens so far.
	produced int
	ending   ending
	// finishReason is valid once the generation is completed.
	finishReason string
}
