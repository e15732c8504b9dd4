package quarantine

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// Error is the class of the errors of this package.
var Error = errs.Class("quarantine")

// MarkPrefix is the key prefix of marks in the key-value service.
const MarkPrefix = "azuredyke/marks/"

// markKey returns the key of the mark of a fingerprint.
func markKey(f quarantine.Fingerprint) string { return MarkPrefix + strconv.FormatUint(uint64(f), 16) }

// DecodeKey returns the fingerprint of a key.
func DecodeKey(key string) (quarantine.Fingerprint, error) {
	f, err := strconv.ParseUint(strings.TrimPrefix(key, MarkPrefix), 16, 64)
	return quarantine.Fingerprint(f), Error.Wrap(err)
}

// encodeMark returns the value of a mark in the key-value service.
func encodeMark(m quarantine.Mark) []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		// Encoding a struct of numbers cannot fail.
		panic(fmt.Sprintf("encoding a mark: %v", err))
	}
	return data
}

// DecodeMark returns the mark of a fingerprint in a value of the key-value service.
func DecodeMark(f quarantine.Fingerprint, data []byte) (quarantine.Mark, error) {
	var m quarantine.Mark
	if err := cbor.Unmarshal(data, &m); err != nil {
		return quarantine.Mark{}, Error.Wrap(err)
	}
	if m.Fingerprint != f {
		return quarantine.Mark{}, Error.New("the entry of fingerprint %x holds the mark of %x", uint64(f), uint64(m.Fingerprint))
	}
	return m, nil
}
