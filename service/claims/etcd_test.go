package claims

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing/etcd"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/fake/kvserver"
	"azuredyke.dev/azuredyke/service/ownership"
)

// Guards against claim guarantees that hold only with the in-memory key-value service. Over the etcd API, a batch whose
// commit response was lost is read back, and a shard whose lease expired is acquired again with its claims.
func TestClaimsOverEtcdAPI(t *testing.T) {
	server := kvserver.NewServer(kvserver.Options{})
	front := httptest.NewUnstartedServer(server)
	front.Config.Protocols = new(http.Protocols)
	front.Config.Protocols.SetUnencryptedHTTP2(true)
	front.Start()
	kv := etcd.New([]string{strings.TrimPrefix(front.URL, "http://")}, 2*time.Second, nil)
	manager := ownership.NewManager(zap.NewNop(), kv, ownership.Options{
		NodeID: "a", LeaseTTL: 6 * time.Second, RenewInterval: 2 * time.Second, StartWithin: time.Second,
		CallTimeout: 2 * time.Second,
	}, latest.New(config.NewSnapshot(0, nil)))
	shards := NewShardManager(zap.NewNop(), kv, defaultOptions(), manager.Current())
	client := NewClient(shards, nil)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for _, run := range []func(context.Context){server.Run, manager.Run, shards.Run} {
		tasks.Go(func() { run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
		kv.Close()
		front.CloseClientConnections()
		front.Close()
	})
	// claim retries while the reply is ClaimUnavailable, as a caller does. The time limit of the test bounds it.
	claim := func(key message.ClaimKey, attempt string) message.ClaimStatus {
		for {
			reply, err := client.Claim(t.Context(), message.ClaimRequest{Key: key, Attempt: attempt})
			assert.NilError(t, err)
			if reply.Status != message.ClaimUnavailable {
				return reply.Status
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	first, second := keyOf(1, 1), keyOf(1, 2)
	assert.Equal(t, claim(first, "x"), message.ClaimGranted)
	server.LoseAnswers(1, kvserver.AnswerLossReset)
	assert.Equal(t, claim(second, "x"), message.ClaimGranted)
	assert.Equal(t, claim(second, "y"), message.ClaimHeld)
	server.ExpireLeases()
	assert.Equal(t, claim(first, "y"), message.ClaimHeld)
	assert.Equal(t, claim(keyOf(1, 3), "x"), message.ClaimGranted)
}
