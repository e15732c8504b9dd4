package message

// ClaimRequest asks the owner of a claim shard to record a request durably before it is sent to an endpoint.
type ClaimRequest struct {
	Key ClaimKey
	// Fingerprint is a hash of method, path and body. Reusing a key with another fingerprint is an error of the caller.
	Fingerprint uint64
	// Attempt identifies the attempt of a gateway; only that gateway may release the claim.
	Attempt string
}
