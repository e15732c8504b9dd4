// Package keyhash hashes workspace keys and operator tokens, which are stored only as hashes.
package keyhash

import (
	"crypto/sha256"
	"encoding/hex"
)

// Of returns the SHA-256 of a secret in lower-case hexadecimal.
func Of(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
