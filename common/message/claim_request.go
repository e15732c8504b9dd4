package message

// ClaimKey identifies a request that may not be repeated: a truncated SHA-256 of workspace, service and key.
type ClaimKey [16]byte

// ClaimRequest asks the owner of a claim shard to record a request durably before it is sent to an endpoint.
type ClaimRequest struct {
	Key ClaimKey
	// Fingerprint is a hash of method, path and body; the same key with another fingerprint is a caller's error.
	Fingerprint uint64
	// Attempt identifies the gateway's attempt; only that gateway may release it.
	Attempt string
}
