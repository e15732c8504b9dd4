// Package memory implements the key-value service in memory, for development and for the fake server.
package memory

import (
	"context"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/mailbox"
)

const (
	// mailboxCapacity bounds the queued calls. When the queue is full, callers block until there is room or their context
	// ends.
	mailboxCapacity = 256
	// expiryInterval is the interval at which expired leases are revoked.
	expiryInterval = 100 * time.Millisecond
	// watchCapacity is the number of unread batches after which a watch is closed.
	watchCapacity = 64
)

// KV is a task that owns a Store. It implements backing.KV.
type KV struct {
	calls mailbox.Mailbox[call]
}

// call is a message to the task. The task's goroutine calls run.
type call interface {
	run(t *task)
}

// task is the state that the goroutine of Run owns.
type task struct {
	store    *Store
	watchers map[*watcher]struct{}
}

// watcher is one open watch.
type watcher struct {
	prefix string
	out    chan backing.WatchBatch
}

// NewKV returns a KV. Calls wait until Run is started.
func NewKV() *KV {
	return &KV{calls: mailbox.New[call](mailboxCapacity)}
}

// Run serves calls until ctx ends.
func (k *KV) Run(ctx context.Context) {
	t := &task{store: NewStore(), watchers: map[*watcher]struct{}{}}
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	defer t.closeAll()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-k.calls.Receive():
			c.run(t)
		case <-ticker.C:
			for _, batch := range t.store.Expire(time.Now()) {
				t.publish(batch)
			}
		}
	}
}

// publish sends the events of a batch to the watchers with matching prefixes.
func (t *task) publish(batch backing.WatchBatch) {
	if len(batch.Events) == 0 {
		return
	}
	for w := range t.watchers {
		t.deliver(w, batch)
	}
}

// deliver sends the events with the prefix of a watcher to that watcher. If the channel is full, it closes the watch.
func (t *task) deliver(w *watcher, batch backing.WatchBatch) {
	events := make([]backing.WatchEvent, 0, len(batch.Events))
	for _, e := range batch.Events {
		if strings.HasPrefix(e.Entry.Key, w.prefix) {
			events = append(events, e)
		}
	}
	if len(events) == 0 {
		return
	}
	select {
	case w.out <- backing.WatchBatch{Events: events, Revision: batch.Revision}:
	default:
		t.closeWatch(w)
	}
}

// closeWatch closes one watch, if it is still open.
func (t *task) closeWatch(w *watcher) {
	if _, ok := t.watchers[w]; ok {
		delete(t.watchers, w)
		close(w.out)
	}
}

// closeAll closes all watches.
func (t *task) closeAll() {
	for w := range t.watchers {
		t.closeWatch(w)
	}
}
