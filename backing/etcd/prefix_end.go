package etcd

import "bytes"

// prefixEnd returns the first key after all keys that start with prefix, in the form that the API expects: the prefix
// with its last byte that is not 0xff raised by one, or a zero byte for "all keys".
func prefixEnd(prefix []byte) []byte {
	end := bytes.Clone(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// prefixStart returns the first key of a range; the API does not accept an empty key.
func prefixStart(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}
