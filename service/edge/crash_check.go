package edge

import (
	"context"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/quarantine"
)

// crashCheck is a check whether an endpoint has crashed under a run.
type crashCheck struct {
	// done is closed when the check has ended.
	done chan struct{}
	// crashed is the result. It is valid after done was closed.
	crashed bool
}

func newCrashCheck() *crashCheck { return &crashCheck{done: make(chan struct{})} }

// hasCrashed checks whether the endpoint of a broken attempt has ended, and counts and logs that.
func (s *Server) hasCrashed(ctx context.Context, request string, fingerprints []quarantine.Fingerprint, endpoint fleet.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	if !s.liveness.HasEnded(ctx, endpoint.Address) {
		return false
	}
	s.placer.reportEnd(ctx, endpoint)
	s.metrics.crashes.Inc(1)
	s.log.Warn("endpoint crashed under a request", zap.String("request", request), zap.String("endpoint", endpoint.ID),
		zap.Any("fingerprints", fingerprints))
	return true
}
