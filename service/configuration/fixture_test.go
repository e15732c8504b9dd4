package configuration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing/memory"
	"azuredyke.dev/azuredyke/decision/config"
)

// fixture holds the configuration tasks of one node, on a key-value service with injectable faults.
type fixture struct {
	kv      *faultyKV
	manager *Manager
	changer *Changer
	watcher *Watcher
	logs    *observer.ObservedLogs
}

// withFixture runs a test with virtual time and a new fixture. The tasks have ended when it returns.
func withFixture(t *testing.T, test func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.DebugLevel)
		log := zap.New(core)
		store := memory.NewKV()
		f := &fixture{kv: &faultyKV{KV: store}, manager: NewManager(log), logs: logs}
		f.changer = NewChanger(log, f.kv, f.manager)
		f.watcher = NewWatcher(log, f.kv, f.manager)
		ctx, cancel := context.WithCancel(context.Background())
		var tasks sync.WaitGroup
		for _, run := range []func(context.Context){store.Run, f.manager.Run, f.changer.Run} {
			tasks.Go(func() { run(ctx) })
		}
		// Deferred, since the synctest bubble can end only after the tasks, even if the test fails.
		defer func() {
			cancel()
			tasks.Wait()
		}()
		test(t, f)
	})
}

var west = config.Ref{Kind: config.KindDataCentre, Name: "west"}

// putWest returns a change of the data centre west.
func putWest(id string, expected int64, region string) config.Change {
	return config.Change{
		Ref: west, Expected: expected, OperationID: id, Actor: "ann", Reason: "test",
		Proposed: &config.Object{Ref: west, DataCentre: &config.DataCentre{Region: region}},
	}
}

// mustChange makes n changes of the data centre west.
func (f *fixture) mustChange(t *testing.T, n int) {
	t.Helper()
	for i := range n {
		_, err := f.changer.Change(t.Context(), putWest(fmt.Sprintf("op-%d", i), config.AnyRevision, fmt.Sprint("r", i)))
		assert.NilError(t, err)
	}
}
