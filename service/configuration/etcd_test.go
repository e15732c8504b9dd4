package configuration

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing/etcd"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/fake/kvserver"
)

// startService runs a fake key-value service until the test ends, and returns the service and a client of it.
func startService(t *testing.T) (*kvserver.Server, *etcd.Client) {
	t.Helper()
	server := kvserver.NewServer(kvserver.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { server.Run(ctx) })
	front := httptest.NewUnstartedServer(server)
	front.Config.Protocols = new(http.Protocols)
	front.Config.Protocols.SetUnencryptedHTTP2(true)
	front.Start()
	t.Cleanup(func() {
		cancel()
		running.Wait()
		front.CloseClientConnections()
		front.Close()
	})
	return server, etcd.New([]string{strings.TrimPrefix(front.URL, "http://")}, 30*time.Second, nil)
}

// Guards against behaviour that is correct only with the in-memory service. Over the etcd API, a lost answer is resolved, a
// relay applies single transactions, and a service restored to an older state is neither followed nor changed.
func TestChangesOverPublishedAPI(t *testing.T) {
	server, kv := startService(t)
	ctx, cancel := context.WithCancel(t.Context())
	log := zap.NewNop()
	manager, relay := NewManager(log), NewManager(log)
	changer := NewChanger(log, kv, manager)
	var tasks sync.WaitGroup
	for _, run := range []func(context.Context){manager.Run, relay.Run, changer.Run, NewWatcher(log, kv, relay).Run} {
		tasks.Go(func() { run(ctx) })
	}
	defer tasks.Wait()
	defer cancel()
	change := func(n int) (AcceptedChange, error) {
		return changer.Change(ctx, putWest(fmt.Sprint("op-", n), config.AnyRevision, fmt.Sprint("r", n)))
	}
	for n := 1; n <= 3; n++ {
		_, err := change(n)
		assert.NilError(t, err)
	}
	saved := server.Snapshot()
	server.LoseAnswers(1, kvserver.AnswerLossReset)
	lost, err := change(4)
	assert.NilError(t, err)
	assert.Equal(t, lost.Revision, int64(4))
	for {
		s, changed := relay.Current().Watch()
		if s.Revision() == 4 {
			assert.Equal(t, s.DataCentre("west").Region, "r4")
			break
		}
		select {
		case <-changed:
		case <-time.After(time.Minute):
			t.Fatalf("relay still at revision %d after 1 min", s.Revision())
		}
	}
	server.Restore(saved)
	_, err = change(5)
	var restored *config.RestoredError
	assert.Assert(t, errors.As(err, &restored), "%v", err)
	assert.Equal(t, manager.Current().Load().Revision(), int64(4))
	assert.Equal(t, relay.Current().Load().Revision(), int64(4))
	audit, err := changer.Audit(ctx, AuditQuery{Limit: 10})
	assert.NilError(t, err)
	assert.Equal(t, len(audit), 3)
}
