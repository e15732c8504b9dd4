package quarantine

import "github.com/zeebo/xxh3"

// Fingerprint identifies something in a request that may crash the endpoints that run it. Its lowest bit is set for a part
// that other requests may contain too.
type Fingerprint uint64

// IsShared reports whether other requests may have the same fingerprint.
func (f Fingerprint) IsShared() bool { return f&1 != 0 }

// RequestFingerprint returns the fingerprint of the request as a whole: its workspace, its path with the query, and its body.
// A caller's retry has the same fingerprint, whatever its request id.
func RequestFingerprint(workspace, path string, body []byte) Fingerprint {
	return fingerprintOf(body, "request", workspace, path) &^ 1
}

// PartFingerprint returns the fingerprint of a part of a prompt that other requests to the service may contain too.
func PartFingerprint(service, part string) Fingerprint {
	return fingerprintOf(nil, "part", service, part) | 1
}

func fingerprintOf(data []byte, names ...string) Fingerprint {
	h := xxh3.New()
	for _, name := range names {
		_, _ = h.WriteString(name)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(data)
	return Fingerprint(h.Sum64())
}
