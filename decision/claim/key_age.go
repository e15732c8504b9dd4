package claim

import (
	"encoding/hex"
	"strings"
	"time"
)

// uuidLength is the length of a UUID in its text form.
const uuidLength = 36

// KeyTime returns the timestamp of a key that is a UUIDv7 in text form, in millisecond precision, and false for any other
// key.
func KeyTime(key string) (time.Time, bool) {
	if len(key) != uuidLength || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' {
		return time.Time{}, false
	}
	b, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(b) != 16 || b[6]>>4 != 7 || b[8]>>6 != 2 {
		return time.Time{}, false
	}
	var ms int64
	for _, octet := range b[:6] {
		ms = ms<<8 | int64(octet)
	}
	return time.UnixMilli(ms), true
}

// KeyExpired reports whether a key is a UUIDv7 that is older than the retention. The request must then be refused, since the
// claim of its key may have expired.
func KeyExpired(key string, retention time.Duration, now time.Time) bool {
	at, ok := KeyTime(key)
	return ok && now.Sub(at) > retention
}
