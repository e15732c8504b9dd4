package gateway

import (
	"context"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/transport/engine"
)

// grantReport returns the report of an event of a grant. f is nil when the event is not a failure.
func grantReport(g message.Grant, event message.GrantEvent, f *engine.Failure) message.GrantReport {
	r := message.GrantReport{Cell: g.Cell, Fence: g.Fence, Number: g.Number, Event: event, Sent: true}
	if f != nil {
		r.Sent = f.Sent
		r.Leaving = f.Refused == engine.RefusedLeaving
		r.StaleFence = f.Refused == engine.RefusedStaleFence
	}
	return r
}

// report sends a grant report to the owner of the cell.
func (s *Server) report(ctx context.Context, r message.GrantReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := s.Placer.Report(ctx, r); err != nil {
		s.log.Warn("grant report not delivered", zap.String("cell", r.Cell), zap.Error(err))
	}
}
