package kvserver

// Loss says what a caller sees when the answer to a write is lost.
type Loss uint8

const (
	lossNone Loss = iota
	// LossReset breaks the call.
	LossReset
	// LossSilence leaves the call open without an answer until its deadline.
	LossSilence
)
