package quarantine

import "time"

// lateStream is one try of a streamed request in the simulation of late crashes.
type lateStream struct {
	node        int
	fingerprint Fingerprint
	// deadly is set if the request crashes each engine that runs it; tries counts how often its caller has sent it.
	deadly bool
	tries  int
	// left is the time that the rest of the answer takes.
	left time.Duration
	// engine runs the stream and backup holds its copy, since begun.
	engine, backup *lateEngine
	begun          time.Time
	seen           []Mark
}
