package catalog

import "time"

// CallerLimits bounds the size of caller requests and the time to receive them.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
