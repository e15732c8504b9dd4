// Package contenthash hashes content together with the names that it belongs to.
package contenthash

import "github.com/zeebo/xxh3"

// Sum returns a hash of the content and the names. Names cannot run into each other: ("ab", "c") and ("a", "bc") differ.
func Sum(content []byte, names ...string) uint64 {
	h := xxh3.New()
	for _, name := range names {
		_, _ = h.WriteString(name)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(content)
	return h.Sum64()
}
