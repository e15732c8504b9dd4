package message

// ClaimKey identifies a request that must not be repeated. It is a truncated SHA-256 of workspace, service and idempotency
// key.
type ClaimKey [16]byte
