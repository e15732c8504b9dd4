package kvserver

// Loss is the way in which the answer to a write is lost.
type Loss uint8

const (
	lossNone Loss = iota
	// LossReset closes the connection.
	LossReset
	// LossSilence keeps the call open without an answer until its deadline.
	LossSilence
)
