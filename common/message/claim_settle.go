package message

// ClaimSettle ends the claim of one attempt, either with an outcome or by releasing it. Released is set when no byte of the
// request was sent.
type ClaimSettle struct {
	Key      ClaimKey
	Attempt  string
	Released bool
	Outcome  *ClaimOutcome
}
