package configuration

import (
	"context"
	"sync"
	"testing"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing/memory"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/decision/config"
)

// noPeers implements Peers for a node without peers.
type noPeers struct{}

func (noPeers) Members() *latest.Value[[]Member]                       { return latest.New[[]Member](nil) }
func (noPeers) Notify(string, Notice)                                  {}
func (noPeers) Pull(context.Context, string, int64) (PullReply, error) { return PullReply{}, nil }

// Guards against goroutines of the tasks that do not end with their context.
func TestTasksEndWithTheirContext(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	kv, log := memory.NewKV(), zap.NewNop()
	manager := NewManager(log)
	changer := NewChanger(log, kv, manager)
	relay := latest.New(true)
	watcher := NewRelayWatcher(log, kv, manager, relay)
	distributor := NewDistributor(log, manager, noPeers{}, watcher, DistributorOptions{})
	for _, run := range []func(context.Context){kv.Run, manager.Run, changer.Run, watcher.Run, distributor.Run} {
		tasks.Go(func() { run(ctx) })
	}
	if _, err := changer.Change(ctx, putWest("op", config.AnyRevision, "a")); err != nil {
		t.Error(err)
	}
	relay.Publish(false)
	cancel()
	tasks.Wait()
}
