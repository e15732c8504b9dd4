package message

// ClaimStatus is the answer to a ClaimRequest.
type ClaimStatus uint8

// Answers to a ClaimRequest.
const (
	// ClaimUnavailable means that the state of the claim is unknown. The request must not be sent.
	ClaimUnavailable ClaimStatus = iota
	// ClaimGranted means that the claim is durable and belongs to this attempt.
	ClaimGranted
	// ClaimHeld means that another attempt holds the claim and the outcome of that attempt is not known.
	ClaimHeld
	// ClaimFinished means that another attempt has run and its outcome is stored.
	ClaimFinished
	// ClaimMismatch means that the key was used for a request with another fingerprint.
	ClaimMismatch
)
