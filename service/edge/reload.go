package edge

import (
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/decision/dispatch"
)

// Reload puts the bounds of settings that were read again in force. Addresses take effect at the next start. An error says
// that the file could not be used; the settings in force then stay.
func (n *Node) Reload(s settings.Edge, err error) {
	if err != nil {
		n.log.Warn("settings not reloaded", logging.Cause(err))
		return
	}
	n.server.revoke.Store(int64(s.Bounds.Revoke))
	if !n.dispatcher.messages.TrySend(paramsMessage{params: paramsOf(s)}) {
		n.log.Warn("limits not reloaded, the dispatcher is busy; send SIGHUP again")
	}
	n.log.Info("settings reloaded", zap.String("log_level", s.Log.Level), zap.Duration("revoke", s.Bounds.Revoke))
}

// paramsOf returns what placement needs of the settings.
func paramsOf(s settings.Edge) dispatch.Params {
	return dispatch.Params{
		DataCentre: s.Node.DataCentre, RetryRatio: s.Bounds.RetryRatio, RetryAllowance: s.Bounds.RetryAllowance,
		RetryWindow: s.Bounds.RetryWindow, ColdOverage: s.Bounds.ColdOverage, ColdSlack: s.Bounds.ColdSlack,
	}
}

// revokeBound returns the time after which a key that was taken away must not be served.
func (s *Server) revokeBound() time.Duration { return time.Duration(s.revoke.Load()) }
