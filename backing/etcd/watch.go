package etcd

import (
	"context"
	"errors"
	"io"
	"time"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/gen/etcdserverpb"
	"azuredyke.dev/azuredyke/gen/mvccpb"
)

// watchCapacity is the number of unread batches after which a watch is closed.
const watchCapacity = 64

// watch is the task that reads one watch stream.
type watch struct {
	stream *connect.BidiStreamForClient[etcdserverpb.WatchRequest, etcdserverpb.WatchResponse]
	cancel context.CancelFunc
	out    chan backing.WatchBatch
}

// Watch implements backing.KV. The last batch before the channel is closed contains the error, unless ctx has ended or the
// reader is too slow. The caller must open a new watch to continue.
func (c *Client) Watch(ctx context.Context, prefix string, from int64) (<-chan backing.WatchBatch, error) {
	request := &etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_CreateRequest{
		CreateRequest: &etcdserverpb.WatchCreateRequest{
			Key: prefixStart(prefix), RangeEnd: prefixEnd([]byte(prefix)), StartRevision: from,
		},
	}}
	var (
		opened  *watch
		lastErr error
	)
	c.tryEndpoints(ctx, func(e endpoint, left int) attemptResult {
		opened, lastErr = openWatch(ctx, e, request, c.timeout/time.Duration(left))
		return readAttemptResult(lastErr)
	})
	if lastErr != nil {
		return nil, lastErr
	}
	go opened.run(ctx)
	return opened.out, nil
}

// openWatch opens a stream and waits until the server confirms that the watch is created.
func openWatch(ctx context.Context, e endpoint, request *etcdserverpb.WatchRequest, timeout time.Duration) (*watch, error) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{stream: e.watch.Watch(ctx), cancel: cancel, out: make(chan backing.WatchBatch, watchCapacity)}
	closeRequestOnDone(ctx, w.stream)
	timer := time.AfterFunc(timeout, cancel)
	// If Send returns io.EOF, Receive returns the cause.
	err := w.stream.Send(request)
	if err == nil || errors.Is(err, io.EOF) {
		var response *etcdserverpb.WatchResponse
		if response, err = w.stream.Receive(); err == nil {
			err = cancellationError(response)
		}
	}
	if !timer.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		if backing.ErrCompacted.Has(err) || backing.ErrUnavailable.Has(err) {
			return nil, err
		}
		return nil, readError(err)
	}
	return w, nil
}

// run sends the events to the reader until the stream fails, the reader is too slow or ctx ends.
func (w *watch) run(ctx context.Context) {
	defer close(w.out)
	defer w.cancel()
	for {
		response, err := w.stream.Receive()
		if err != nil {
			err = readError(err)
		} else {
			err = cancellationError(response)
		}
		if err != nil {
			if ctx.Err() == nil {
				w.trySend(backing.WatchBatch{Err: err})
			}
			return
		}
		for _, batch := range splitByRevision(response.GetEvents()) {
			if !w.trySend(batch) {
				return
			}
		}
	}
}

// trySend sends a batch without waiting, and reports whether the channel had room for it.
func (w *watch) trySend(batch backing.WatchBatch) bool {
	select {
	case w.out <- batch:
		return true
	default:
		return false
	}
}

// cancellationError returns the error of a response that cancels the watch, or nil for any other response.
func cancellationError(response *etcdserverpb.WatchResponse) error {
	switch {
	case response.GetCompactRevision() != 0:
		return backing.ErrCompacted.New("watch starts before revision %d", response.GetCompactRevision())
	case response.GetCanceled():
		return backing.ErrUnavailable.New("watch canceled: %s", response.GetCancelReason())
	}
	return nil
}

// splitByRevision groups events into one batch per revision.
func splitByRevision(events []*mvccpb.Event) []backing.WatchBatch {
	var batches []backing.WatchBatch
	for _, event := range events {
		e := backing.WatchEvent{Entry: entryOf(event.GetKv()), Deleted: event.GetType() == mvccpb.Event_DELETE}
		if n := len(batches); n == 0 || batches[n-1].Revision != e.Entry.ModRevision {
			batches = append(batches, backing.WatchBatch{Revision: e.Entry.ModRevision})
		}
		last := &batches[len(batches)-1]
		last.Events = append(last.Events, e)
	}
	return batches
}
