package quarantine

import (
	"slices"

	"azuredyke.dev/azuredyke/common/contenthash"
)

// Fingerprint identifies something in a request that may crash the endpoints that run it. Its lowest bit is set for a part
// that other requests may contain too. A shared part has two fingerprints: the first event of an answer clears it of crashes before that
// event, but only a complete answer clears it of crashes at any point of an answer.
type Fingerprint uint64

// answerPartByte is the lowest byte of the fingerprint of a shared part that is suspected of crashes at any point of an answer.
const answerPartByte = 0xff

// IsShared reports whether other requests may have the same fingerprint.
func (f Fingerprint) IsShared() bool { return f&1 != 0 }

// IsAnswerPart reports whether the fingerprint is that of a shared part that is suspected of crashes at any point of an answer.
func (f Fingerprint) IsAnswerPart() bool { return f&answerPartByte == answerPartByte }

// RequestFingerprint returns the fingerprint of a request as a whole, from its body and the names that identify it besides, such as
// its workspace and path. A caller's retry has the same fingerprint, whatever its request id.
func RequestFingerprint(body []byte, names ...string) Fingerprint {
	return Fingerprint(contenthash.Sum(body, names...)) &^ 1
}

// PartFingerprint returns the fingerprint of a part of a prompt that other requests to the service may contain too, as a suspect of crashes
// before the first event of an answer.
func PartFingerprint(service, part string) Fingerprint {
	f := Fingerprint(contenthash.Sum(nil, service, part)) | 1
	if f.IsAnswerPart() {
		f &^= 2
	}
	return f
}

// AnswerPartFingerprint returns the fingerprint of such a part as a suspect of crashes at any point of an answer.
func AnswerPartFingerprint(service, part string) Fingerprint {
	return Fingerprint(contenthash.Sum(nil, service, part, "answer")) | answerPartByte
}

// WithoutAnswerParts returns the fingerprints that are not those of answer parts.
func WithoutAnswerParts(fingerprints []Fingerprint) []Fingerprint {
	return slices.DeleteFunc(slices.Clone(fingerprints), Fingerprint.IsAnswerPart)
}
