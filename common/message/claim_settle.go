package message

// ClaimSettle ends a claim of one attempt: with an outcome, or released when Released is set, which says that no byte of
// the request was sent.
type ClaimSettle struct {
	Key      ClaimKey
	Attempt  string
	Released bool
	Outcome  *ClaimOutcome
}
