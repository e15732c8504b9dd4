package message

// ClaimStatus is the answer to a ClaimRequest.
type ClaimStatus uint8

// Answers to a ClaimRequest.
const (
	// ClaimUnavailable means that nothing is known about the claim and the request must not be sent.
	ClaimUnavailable ClaimStatus = iota
	// ClaimGranted means that the claim is durable and belongs to this attempt.
	ClaimGranted
	// ClaimHeld means that another attempt holds the claim and its outcome is not known.
	ClaimHeld
	// ClaimFinished means that another attempt ran and its outcome is stored.
	ClaimFinished
	// ClaimMismatch means that the key was used with another fingerprint.
	ClaimMismatch
)
