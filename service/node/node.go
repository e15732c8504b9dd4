package node

import (
	"context"
	"sync"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/metrics"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/platform"
	"azuredyke.dev/azuredyke/service/claims"
	"azuredyke.dev/azuredyke/service/configuration"
	"azuredyke.dev/azuredyke/service/dispatcher"
	"azuredyke.dev/azuredyke/service/gateway"
	"azuredyke.dev/azuredyke/service/hosts"
	"azuredyke.dev/azuredyke/service/limits"
	"azuredyke.dev/azuredyke/service/operator"
	"azuredyke.dev/azuredyke/service/ownership"
	"azuredyke.dev/azuredyke/service/quarantine"
	"azuredyke.dev/azuredyke/service/retries"
	"azuredyke.dev/azuredyke/service/router"
	"azuredyke.dev/azuredyke/transport/engine"
)

// Error is the class of the errors of this package.
var Error = errs.Class("node")

// Node is one assembled node.
type Node struct {
	log        *zap.Logger
	settings   settings.Settings
	metrics    *metrics.Registry
	client     *engine.Client
	keeper     *configuration.Keeper
	watcher    *configuration.Watcher
	changer    *configuration.Changer
	hosts      *hosts.Poller
	ownership  *ownership.Keeper
	dispatch   *dispatcher.Dispatcher
	limits     *limits.Keeper
	retries    *retries.Keeper
	quarantine *quarantine.Keeper
	gateway    *gateway.Server
	operator   *operator.Server
	listeners  listeners
}

// New assembles a node and opens its listeners, so that its addresses are known.
func New(log *zap.Logger, s settings.Settings, kv platform.KV, list platform.HostList) (*Node, error) {
	n := &Node{log: logging.For(log, logging.Node), settings: s, metrics: metrics.NewRegistry()}
	if err := n.listeners.open(s.Listen); err != nil {
		return nil, err
	}
	n.settings.Listen = n.listeners.addresses(s.Listen)
	n.settings.Node.ID = orAddress(s.Node.ID, n.settings.Listen.PeersAdvertised)
	s = n.settings
	n.client = engine.NewClient(s.Dispatch.ConnectTimeout, nil)
	n.keeper = configuration.NewKeeper(logging.For(log, logging.Configuration))
	n.watcher = configuration.NewWatcher(logging.For(log, logging.Configuration), kv, n.keeper)
	n.changer = configuration.NewChanger(logging.For(log, logging.Configuration), kv, n.keeper)
	n.hosts = hosts.NewPoller(logging.For(log, logging.Membership), list, s.Platform.HostList.Interval)
	n.ownership = ownership.NewKeeper(logging.For(log, logging.Ownership), kv, ownership.Options{
		NodeID: s.Node.ID, Address: s.Listen.PeersAdvertised, LeaseTTL: s.Dispatch.LeaseTTL,
		RenewInterval: s.Dispatch.RenewInterval, StartWithin: s.Dispatch.StartWithin, CallTimeout: s.Platform.KeyValue.Timeout,
	}, n.keeper.Current())
	n.dispatch = dispatcher.New(logging.For(log, logging.Dispatcher), s.Dispatch, n.client, n.keeper.Current(),
		n.hosts.Current(), n.ownership.Current())
	route := router.New(logging.For(log, logging.Router), n.keeper.Current(), n.dispatch.Cells())
	n.limits = limits.NewKeeper(n.keeper.Current(), latest.New(1))
	n.retries = retries.NewKeeper()
	n.quarantine = quarantine.NewKeeper(logging.For(log, logging.Gateway), quarantine.Alone{})
	n.gateway = gateway.NewServer(logging.For(log, logging.Gateway), gateway.Options{
		Limits: s.Limits, StallAfter: s.Dispatch.StallAfter, FirstTokenTimeout: s.Dispatch.SuspectAfter,
		ClaimTimeout: s.Claims.Timeout,
	}, gateway.Dependencies{
		Config: n.keeper.Current(), Placer: route, Claimer: claims.Unavailable{}, Limiter: n.limits, Retries: n.retries,
		Quarantine: n.quarantine, Client: n.client,
	}, n.metrics.Scope)
	n.operator = operator.NewServer(logging.For(log, logging.Operator), n.changer, n.keeper.Current(), &fleet{node: n})
	return n, nil
}

// Addresses returns the addresses that the node listens on.
func (n *Node) Addresses() settings.Listen { return n.settings.Listen }

// orAddress returns the id, or the address of a node that was given none.
func orAddress(id, address string) string {
	if id == "" {
		return address
	}
	return id
}

// Run serves until ctx ends, then stops gracefully: no request that was accepted is cut.
func (n *Node) Run(ctx context.Context) error {
	tasks, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	var running sync.WaitGroup
	for _, run := range []func(context.Context){
		n.keeper.Run, n.watcher.Run, n.changer.Run, n.hosts.Run, n.ownership.Run, n.dispatch.Run,
		n.limits.Run, n.retries.Run, n.quarantine.Run,
	} {
		running.Go(func() { run(tasks) })
	}
	servers := n.servers()
	failed := make(chan error, len(servers))
	for _, s := range servers {
		running.Go(func() { failed <- s.run() })
	}
	n.log.Info("node started", zap.String("node", n.settings.Node.ID))
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	n.stop(servers)
	stopTasks()
	running.Wait()
	n.client.Close()
	return errs.Combine(Error.Wrap(err), n.metrics.Close())
}

// servers returns the HTTP servers of the node in the order in which they are stopped.
func (n *Node) servers() []*httpServer {
	l := n.settings.Limits
	return []*httpServer{
		newHTTPServer(n.listeners.callers, n.gateway.Handler(), l),
		newHTTPServer(n.listeners.operators, n.operator.Handler(n.settings.Operators), l),
		newHTTPServer(n.listeners.metrics, n.healthHandler(), l),
	}
}

// stop refuses new work and waits for running requests.
func (n *Node) stop(servers []*httpServer) {
	n.log.Info("node is stopping", zap.Int64("open_requests", n.gateway.Open()))
	n.gateway.Stop()
	ctx := context.Background()
	if t := n.settings.Stop.Timeout; t > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t)
		defer cancel()
	}
	for _, s := range servers {
		s.stop(ctx)
	}
}
