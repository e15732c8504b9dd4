package kvserver

// AnswerLoss is the way in which the answer to a write is lost.
type AnswerLoss uint8

const (
	answerLossNone AnswerLoss = iota
	// AnswerLossReset closes the connection.
	AnswerLossReset
	// AnswerLossNoReply keeps the call open without an answer until its caller has left.
	AnswerLossNoReply
)
