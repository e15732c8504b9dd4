package catalog

import "time"

// CallerLimits bounds what callers may send and how long they may take.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
