package edge

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// recheckAfter is the wait for an engine after which the request is checked again before it is sent. Meanwhile its key may have been
// revoked, its route changed, or another run with its fingerprint may have crashed an endpoint.
const recheckAfter = 100 * time.Millisecond

// placeChecked places the request. If it waited for long, it is checked again, and placed again if it has to run in another way.
func (s *session) placeChecked(ctx context.Context, o sendOptions) (*upstream, error) {
	for {
		if err := s.awaitQuarantine(ctx); err != nil {
			return nil, err
		}
		begin := time.Now()
		up, err := s.place(ctx, o)
		if err != nil {
			s.releaseTrial()
			return nil, err
		}
		if !s.server.orderedAdmission.Load() || time.Since(begin) < recheckAfter {
			return up, nil
		}
		unchanged, err := s.recheck()
		if unchanged && err == nil {
			return up, nil
		}
		up.end(dispatch.Cancelled)
		s.releaseTrial()
		if err != nil {
			return nil, err
		}
	}
}

// recheck checks the request against the present configuration and the quarantine. It reports whether the request may run as it was
// placed, and returns an error if it may not run at all.
func (s *session) recheck() (bool, error) {
	service, workspace := s.service, s.workspace
	if err := s.admit(); err != nil {
		return false, err
	}
	if workspace != nil && s.workspace != nil && workspace.Name != s.workspace.Name {
		return false, movedKeyError()
	}
	if s.runs > 0 {
		// A repeated run stays at its service: a stream that has begun must not continue with the answer of another one.
		s.service = service
	}
	return s.service == service && s.server.quarantine.Assess(s.fingerprints).Standing <= s.admission.Standing, nil
}
