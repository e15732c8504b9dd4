package message

// ClaimKey identifies a request that may not be repeated: a truncated SHA-256 of workspace, service and key.
type ClaimKey [16]byte
