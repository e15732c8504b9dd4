package message

// ClaimRequest asks the owner of a claim shard to record a request durably before it is sent to an endpoint.
type ClaimRequest struct {
	Key ClaimKey
	// Fingerprint is a hash of method, path and body; the same key with another fingerprint is a caller's error.
	Fingerprint uint64
	// Attempt identifies the gateway's attempt; only that gateway may release it.
	Attempt string
}
