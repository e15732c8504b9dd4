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

func (m releaseMessage) apply(ctx context.Context, manager *Manager) {
	resources := m.resources
	if len(resources) == 0 {
		manager.stopping = true
		for resource := range manager.held {
			resources = append(resources, resource)
		}
	}
	var parts []chan struct{}
	for _, resource := range resources {
		manager.retired[resource] = true
		if h, ok := manager.held[resource]; ok {
			part := make(chan struct{})
			h.releaseWaiters = append(h.releaseWaiters, part)
			parts = append(parts, part)
			manager.beginRelease(ctx, resource)
		}
	}
	all := make(chan struct{})
	manager.calls.Go(func() {
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
func (m *Manager) beginRelease(ctx context.Context, resource string) {
	h := m.held[resource]
	if h.Releasing {
		return
	}
	h.Releasing = true
	fence := h.Fence
	m.log.Info("releasing resource", zap.String("resource", resource), zap.Uint64("fence", fence))
	m.publish()
	m.calls.Go(func() {
		for m.drain(ctx, resource) != nil {
			if !pause.Sleep(ctx, drainRetryDelay) {
				return
			}
		}
		m.send(ctx, drainedMessage{resource: resource, fence: fence})
	})
}

// drain waits until the open grants of a resource have ended.
func (m *Manager) drain(ctx context.Context, resource string) error {
	if m.options.WaitDrained != nil {
		return m.options.WaitDrained(ctx, resource)
	}
	pause.Sleep(ctx, m.options.StartWithin)
	return ctx.Err()
}

func (m drainedMessage) apply(_ context.Context, manager *Manager) {
	if h, ok := manager.held[m.resource]; ok && h.Fence == m.fence {
		h.drained = true
		manager.publish()
	}
}
