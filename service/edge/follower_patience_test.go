package edge

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/transport/peer"
)

// Guards against a node that ends each large reply of its relays after the same time, so that none ever arrives.
func TestFollowerGivesRelaysMoreTimeAfterATimeout(t *testing.T) {
	const maxAttempts = 20
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	relay := peer.NewHub(zap.NewNop(), peer.Options{NodeID: "relay", TrustedNetwork: true})
	peer.Handle(relay, kindSync, 0, func(ctx context.Context, _ string, _ syncRequest) (syncReply, error) {
		<-ctx.Done()
		return syncReply{}, ctx.Err()
	})
	hub := peer.NewHub(zap.NewNop(), peer.Options{NodeID: "node", TrustedNetwork: true})
	for _, h := range []*peer.Hub{relay, hub} {
		running.Go(func() { h.Run(ctx) })
	}
	server := httptest.NewServer(relay.Handler())
	defer server.CloseClientConnections()
	address := strings.TrimPrefix(server.URL, "http://")
	f := &follower{
		log: zap.NewNop(), cluster: latest.New(&clusterState{}), view: mailbox.New[viewMessage](viewCapacity), avoidUntil: map[string]time.Time{},
		syncClient: syncClient{hub: hub, view: mailbox.New[viewMessage](viewCapacity)},
	}
	// On a busy machine the first requests may not reach the relay in time; those say nothing about its replies.
	for range maxAttempts {
		if f.patience.current() != syncTimeout {
			break
		}
		f.pollRelay(ctx, address)
	}
	assert.Equal(t, f.patience.current(), 2*syncTimeout)
}
