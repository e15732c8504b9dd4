package quarantine

// Fingerprint identifies what a request asks for: a hash of workspace, path and body.
type Fingerprint uint64
