package httpclient

import "strings"

// isTokenByte reports whether a field name may contain the byte (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
