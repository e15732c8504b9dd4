package node

import (
	"context"
	"sync"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
)

// Run serves until ctx ends or a server fails, and then stops gracefully: requests that were accepted are completed, unless
// they exceed the stop timeout.
func (n *Node) Run(ctx context.Context) error {
	tasks, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	var running sync.WaitGroup
	for _, run := range n.tasks() {
		running.Go(func() { run(tasks) })
	}
	servers := n.servers()
	failed := make(chan error, servers.count())
	for _, s := range servers.all() {
		running.Go(func() { failed <- s.Run() })
	}
	n.log.Info("node started", zap.String("node", n.settings.Node.ID),
		zap.String("data_centre", n.settings.Node.DataCentre), zap.String("callers", n.settings.Listen.Callers),
		zap.String("peers", n.settings.Listen.Peers))
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	n.stop(servers)
	stopTasks()
	running.Wait()
	n.client.Close()
	n.log.Info("node stopped")
	return errs.Combine(Error.Wrap(err), n.metrics.Close())
}

// tasks returns the tasks of the node.
func (n *Node) tasks() []func(context.Context) {
	return []func(context.Context){
		n.hub.Run, n.members.Run, n.configManager.Run, n.watcher.Run, n.changer.Run, n.distributor.Run,
		n.hosts.Run, n.ownership.Run, n.dispatcher.Run, n.router.Run, n.placementServer.Run, n.shards.Run,
		n.limits.Run, n.retries.Run, n.quarantine.Run, n.detached.Run,
		func(ctx context.Context) { n.memberView.run(ctx, n.members.Current()) },
	}
}
