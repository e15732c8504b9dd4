package edge

import (
	"azuredyke.dev/azuredyke/common/bootclock"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/settings"
	decision "azuredyke.dev/azuredyke/decision/rollout"
	"azuredyke.dev/azuredyke/service/rollout"
)

const (
	// maxCanaryShare and canaryMargin bound the share of the target while it is observed. The margin below the bound allows for
	// requests whose arrival is not counted.
	maxCanaryShare = 0.08
	canaryMargin   = 0.02
)

// canaryShare returns the share of the target while it is observed.
func canaryShare(b settings.EdgeBounds) float64 {
	return max(0, min(maxCanaryShare, b.ExposureShare-canaryMargin))
}

// addRollouts creates the tasks of roll-outs if the feature is on. It must be called before the hub runs.
func (n *Node) addRollouts(d Dependencies) {
	if !n.settings.Features.Rollouts {
		return
	}
	scope := d.Metrics.Scope.SubScope("rollout")
	n.view.rollouts, n.view.ordersIgnored = true, scope.Counter("orders_ignored")
	log := logging.For(n.log, logging.Configuration)
	cluster, peers := rolloutCluster{self: n.self, cluster: n.view.current}, rolloutPeers{hub: n.hub, cluster: n.view.current}
	n.rollouts = rollout.NewManager(log, n.self.ID, cluster, rolloutDispatcher{messages: n.dispatcher.messages}, peers, bootclock.Now, scope)
	handleRollouts(peers, n.rollouts)
	n.decider = rollout.NewDecider(log, n.self.ID, cluster, n.rollouts, peers, d.Store, d.EncodeRolloutStatus, func() rollout.Judge {
		return decision.NewJudge(decision.JudgeParams{})
	}, bootclock.Now, scope)
	n.server.rollouts = n.rollouts
}
