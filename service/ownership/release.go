package ownership

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/pause"
)

// drainRetry is the wait before the open grants of a resource are looked at again after an error.
const drainRetry = time.Second

// releaseMessage asks to release resources, or everything when there are none.
type releaseMessage struct {
	resources []string
	reply     chan<- (<-chan struct{})
}

// drainedMessage says that the open grants of a resource have ended.
type drainedMessage struct {
	resource string
	fence    uint64
}

func (m releaseMessage) apply(ctx context.Context, k *Keeper) {
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
			h.released = append(h.released, part)
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

// beginRelease marks a resource as releasing and waits for its open grants in a goroutine.
func (k *Keeper) beginRelease(ctx context.Context, resource string) {
	h := k.held[resource]
	if h.Releasing {
		return
	}
	h.Releasing = true
	fence := h.Fence
	k.log.Info("resource is being released", zap.String("resource", resource), zap.Uint64("fence", fence))
	k.publish()
	k.calls.Go(func() {
		for k.drain(ctx, resource) != nil {
			if !pause.Sleep(ctx, drainRetry) {
				return
			}
		}
		k.send(ctx, drainedMessage{resource: resource, fence: fence})
	})
}

// drain waits until the open grants have ended.
func (k *Keeper) drain(ctx context.Context, resource string) error {
	if k.options.Drained != nil {
		return k.options.Drained(ctx, resource)
	}
	pause.Sleep(ctx, k.options.StartWithin)
	return ctx.Err()
}

func (m drainedMessage) apply(_ context.Context, k *Keeper) {
	if h, ok := k.held[m.resource]; ok && h.Fence == m.fence {
		h.drained = true
		k.publish()
	}
}
