package quarantine

import "azuredyke.dev/azuredyke/common/contenthash"

// Fingerprint identifies something in a request that may crash the endpoints that run it. Its lowest bit is set for a part
// that other requests may contain too.
type Fingerprint uint64

// IsShared reports whether other requests may have the same fingerprint.
func (f Fingerprint) IsShared() bool { return f&1 != 0 }

// RequestFingerprint returns the fingerprint of a request as a whole, from its body and the names that identify it besides, such as
// its workspace and path. A caller's retry has the same fingerprint, whatever its request id.
func RequestFingerprint(body []byte, names ...string) Fingerprint {
	return Fingerprint(contenthash.Sum(body, names...)) &^ 1
}

// PartFingerprint returns the fingerprint of a part of a prompt that other requests to the service may contain too.
func PartFingerprint(service, part string) Fingerprint {
	return Fingerprint(contenthash.Sum(nil, service, part)) | 1
}
