package claim

import (
	"encoding/hex"
	"strings"
	"time"
)

// uuidLength is the length of a UUID in its text form.
const uuidLength = 36

// KeyTime returns the time that a UUIDv7 in its text form carries, to the millisecond, and false for any other key.
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

// TooOld reports whether a key carries its time and is older than the retention, so that its claim may be forgotten.
// Such a request must be refused.
func TooOld(key string, retention time.Duration, now time.Time) bool {
	at, ok := KeyTime(key)
	return ok && now.Sub(at) > retention
}
