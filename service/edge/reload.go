package edge

import (
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/decision/dispatch"
)

// Reload applies the bounds of reloaded settings. Changed addresses take effect at the next start. A non-nil err means that
// the settings file is not usable; the node then keeps its settings.
func (n *Node) Reload(s settings.Edge, err error) {
	if err != nil {
		n.log.Warn("settings file not usable; keeping the current settings", logging.Cause(err))
		return
	}
	n.server.revokeAfter.Store(int64(s.Bounds.Revoke))
	n.server.orderedAdmission.Store(s.Features.OrderedAdmission)
	if !n.dispatcher.messages.TrySend(paramsMessage{params: dispatchParams(s)}) {
		n.log.Warn("bounds of the dispatcher not reloaded, its queue is full; send SIGHUP again")
	}
	n.log.Info("settings reloaded", zap.String("log_level", s.Log.Level), zap.Duration("revoke", s.Bounds.Revoke))
}

// dispatchParams returns the parameters of placement in the settings.
func dispatchParams(s settings.Edge) dispatch.Params {
	return dispatch.Params{
		DataCentre: s.Node.DataCentre, RetryRatio: s.Bounds.RetryRatio, RetryAllowance: s.Bounds.RetryAllowance,
		RetryWindow: s.Bounds.RetryWindow, ColdOverage: s.Bounds.ColdOverage, ColdSlack: s.Bounds.ColdSlack,
		EndpointSpeed:    s.Features.EndpointSpeed,
		OrderedAdmission: s.Features.OrderedAdmission,
		PromptAffinity:   s.Features.PromptAffinity,
		CanaryShare:      canaryShare(s.Bounds),
	}
}

// revokeBound returns the time after its revocation from which a key must be refused.
func (s *Server) revokeBound() time.Duration { return time.Duration(s.revokeAfter.Load()) }
