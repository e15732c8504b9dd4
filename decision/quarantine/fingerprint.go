package quarantine

// Fingerprint identifies the content of a request: a hash of its workspace, path and body.
type Fingerprint uint64
