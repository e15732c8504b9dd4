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

// rig is one node's configuration tasks on a key-value service with faults.
type rig struct {
	kv      *faultyKV
	keeper  *Keeper
	changer *Changer
	watcher *Watcher
	logs    *observer.ObservedLogs
}

// inBubble runs a test with virtual time. The tasks have ended when it returns.
func inBubble(t *testing.T, test func(t *testing.T, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.DebugLevel)
		log := zap.New(core)
		store := memory.NewKV()
		r := &rig{kv: &faultyKV{KV: store}, keeper: NewKeeper(log), logs: logs}
		r.changer = NewChanger(log, r.kv, r.keeper)
		r.watcher = NewWatcher(log, r.kv, r.keeper)
		ctx, cancel := context.WithCancel(context.Background())
		var tasks sync.WaitGroup
		for _, run := range []func(context.Context){store.Run, r.keeper.Run, r.changer.Run} {
			tasks.Go(func() { run(ctx) })
		}
		// Also when the test fails, so that the bubble can end.
		defer func() {
			cancel()
			tasks.Wait()
		}()
		test(t, r)
	})
}

var west = config.Ref{Kind: config.KindDataCentre, Name: "west"}

// put is a change of the data centre west.
func putWest(id string, expected int64, region string) config.Change {
	return config.Change{
		Ref: west, Expected: expected, OperationID: id, Actor: "ann", Reason: "test",
		Proposed: &config.Object{Ref: west, DataCentre: &config.DataCentre{Region: region}},
	}
}

// mustChange makes n changes of the data centre west.
func (r *rig) mustChange(t *testing.T, n int) {
	t.Helper()
	for i := range n {
		_, err := r.changer.Change(t.Context(), putWest(fmt.Sprintf("op-%d", i), config.AnyRevision, fmt.Sprint("r", i)))
		assert.NilError(t, err)
	}
}
