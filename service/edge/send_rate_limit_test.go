package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/limit"
	"azuredyke.dev/azuredyke/service/ratelimit"
)

// silentPeers lists one other node that never answers.
type silentPeers struct{}

func (silentPeers) Nodes() []ratelimit.Node {
	return []ratelimit.Node{{ID: "other", Address: "address of other"}}
}

func (silentPeers) Ask(ctx context.Context, _ string, _ ratelimit.Question) (limit.Grant, error) {
	<-ctx.Done()
	return limit.Grant{}, ctx.Err()
}

// newRateLimitedSession returns a session that gets no grant from the owners of budgets, and the mailbox of its dispatcher. Its tasks end
// with ctx.
func newRateLimitedSession(ctx context.Context) (*session, mailbox.Mailbox[dispatcherMessage]) {
	rates := ratelimit.NewManager(zap.NewNop(), silentPeers{})
	go rates.Run(ctx)
	messages := mailbox.New[dispatcherMessage](8)
	server := &Server{placer: placer{messages: messages}, rates: rates, metrics: newServerMetrics(tally.NoopScope)}
	return &session{server: server, request: &exchange.Request{Received: time.Now()}, route: &plainRoute}, messages
}

// Guards against an endpoint that gets no requests from a node for a while because one caller has left while the node asked for a grant.
func TestCallerThatLeavesDoesNotCloseALimitedEndpoint(t *testing.T) {
	for name, leaves := range map[string]bool{"caller leaves": true, "caller waits": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tasks, end := context.WithCancel(t.Context())
				defer end()
				s, messages := newRateLimitedSession(tasks)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				done := make(chan error, 1)
				go func() {
					_, err := s.place(ctx, sendOptions{})
					done <- err
				}()
				(<-messages.Receive()).(placeMessage).reply <- placeReply{placement: dispatch.Placement{RateLimited: true, RateLimit: 1}}
				synctest.Wait()
				if leaves {
					cancel()
					synctest.Wait()
				}
				assert.Assert(t, (<-messages.Receive()).(releaseMessage).outcome == dispatch.Cancelled)
				if !leaves {
					_ = (<-messages.Receive()).(rateRefusalMessage)
					cancel()
				}
				assert.Assert(t, <-done != nil)
				if leaves {
					assert.Equal(t, messages.Len(), 0)
				}
			})
		})
	}
}

// Guards against a request that asks the owners of all limited endpoints of a large service, one after the other.
func TestRequestAsksForFewLimitedEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s, messages := newRateLimitedSession(ctx)
		go func() { _, _ = s.place(ctx, sendOptions{}) }()
		for asks := 0; asks <= maxRateAsks; {
			m, ok := (<-messages.Receive()).(placeMessage)
			if !ok {
				continue
			}
			assert.Equal(t, m.request.AvoidRateLimited, asks == maxRateAsks)
			m.reply <- placeReply{placement: dispatch.Placement{RateLimited: asks < maxRateAsks, RateLimit: 1}}
			asks++
		}
	})
}
