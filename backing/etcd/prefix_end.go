package etcd

import "bytes"

// prefixEnd returns the end of the range of keys that start with prefix, in the form that the API expects. It drops trailing
// 0xff bytes and increments the last remaining byte. If no byte remains, it returns a zero byte, which means no end.
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

// prefixStart returns the first key of a range. An empty prefix becomes a zero byte, since the API does not accept an empty
// key.
func prefixStart(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}
