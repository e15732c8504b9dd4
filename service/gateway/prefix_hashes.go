package gateway

import "github.com/zeebo/xxh3"

const (
	// prefixBlock is the length in bytes of the blocks of a prompt that are hashed.
	prefixBlock = 256
	// maxPrefixHashes bounds the hashes of one prompt.
	maxPrefixHashes = 64
)

// prefixHashes returns the hashes of the growing prefixes of a prompt, in whole blocks. Two prompts share as many hashes as
// they share leading blocks.
func prefixHashes(parts ...[]byte) []uint64 {
	var hashes []uint64
	h := xxh3.New()
	for _, part := range parts {
		for len(part) >= prefixBlock && len(hashes) < maxPrefixHashes {
			_, _ = h.Write(part[:prefixBlock])
			hashes = append(hashes, h.Sum64())
			part = part[prefixBlock:]
		}
	}
	return hashes
}
