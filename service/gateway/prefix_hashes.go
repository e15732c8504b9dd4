package gateway

import "github.com/zeebo/xxh3"

const (
	// prefixBlockBytes is the length of the blocks in which a prompt is hashed.
	prefixBlockBytes = 256
	// maxPrefixHashes is the maximum number of hashes of one prompt.
	maxPrefixHashes = 64
)

// prefixHashes returns one hash for each prefix of the prompt that consists of full blocks, shortest first. The number of
// hashes that two prompts share is the number of leading blocks that they share.
func prefixHashes(parts ...[]byte) []uint64 {
	var hashes []uint64
	h := xxh3.New()
	for _, part := range parts {
		for len(part) >= prefixBlockBytes && len(hashes) < maxPrefixHashes {
			_, _ = h.Write(part[:prefixBlockBytes])
			hashes = append(hashes, h.Sum64())
			part = part[prefixBlockBytes:]
		}
	}
	return hashes
}
