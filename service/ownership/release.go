package ownership

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/pause"
)

// drainRetryDelay is the delay before a failed drain of a resource is retried.
const drainRetryDelay = time.Second

// releaseMessage requests the release of resources, or of all resources if the list is empty. The reply is a channel that
// is closed when they are released.
type releaseMessage struct {
	resources []string
	reply     chan<- (<-chan struct{})
}

// drainedMessage reports that the open grants of a resource have ended.
type drainedMessage struct {
	resource string
	fence    uint64
}

func (m releaseMessage) apply(ctx context.Context, k *Manager) {
	resources := m.resources
	if len(resources) == 0 {
		k.stopping = true
		for resource := range k.held {
			resources = append(resources, resource)
		}
	}
	var parts []chan struct{}
	for _, resource := range resources {
		k.retired[resource] = true
		if h, ok := k.held[resource]; ok {
			part := make(chan struct{})
			h.releaseWaiters = append(h.releaseWaiters, part)
			parts = append(parts, part)
			k.beginRelease(ctx, resource)
		}
	}
	all := make(chan struct{})
	k.calls.Go(func() {
		for _, part := range parts {
			select {
			case <-part:
			case <-ctx.Done():
				return
			}
		}
		close(all)
	})
	m.reply <- all
}

// beginRelease marks a resource as releasing, and starts a goroutine that waits for its open grants.
func (k *Manager) beginRelease(ctx context.Context, resource string) {
	h := k.held[resource]
	if h.Releasing {
		return
	}
	h.Releasing = true
	fence := h.Fence
	k.log.Info("releasing resource", zap.String("resource", resource), zap.Uint64("fence", fence))
	k.publish()
	k.calls.Go(func() {
		for k.drain(ctx, resource) != nil {
			if !pause.Sleep(ctx, drainRetryDelay) {
				return
			}
		}
		k.send(ctx, drainedMessage{resource: resource, fence: fence})
	})
}

// drain waits until the open grants of a resource have ended.
func (k *Manager) drain(ctx context.Context, resource string) error {
	if k.options.WaitDrained != nil {
		return k.options.WaitDrained(ctx, resource)
	}
	pause.Sleep(ctx, k.options.StartWithin)
	return ctx.Err()
}

func (m drainedMessage) apply(_ context.Context, k *Manager) {
	if h, ok := k.held[m.resource]; ok && h.Fence == m.fence {
		h.drained = true
		k.publish()
	}
}
