package kvserver

import (
	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/backing/memory"
	"azuredyke.dev/azuredyke/gen/etcdserverpb"
	"azuredyke.dev/azuredyke/gen/mvccpb"
)

// watchCapacity is the number of unsent responses that a stream buffers.
const watchCapacity = 4096

// watchStream is one call of Watch.
type watchStream struct {
	out chan *etcdserverpb.WatchResponse
	// abort ends the call with an error. It may be called more than once.
	abort func()
	// nextID is the id of the next watch. It is owned by the task.
	nextID int64
}

func newWatchStream(end func()) *watchStream {
	return &watchStream{out: make(chan *etcdserverpb.WatchResponse, watchCapacity), abort: end}
}

// watcher is one watch of a stream.
type watcher struct {
	stream   *watchStream
	id       int64
	key, end string
	// startRevision is the first revision whose events are sent.
	startRevision int64
}

// response returns a response with the events of a batch that match the watch, or nil if there are none.
func (w *watcher) response(header *etcdserverpb.ResponseHeader, batch backing.WatchBatch) *etcdserverpb.WatchResponse {
	if batch.Revision < w.startRevision {
		return nil
	}
	response := &etcdserverpb.WatchResponse{Header: header, WatchId: w.id}
	for _, e := range batch.Events {
		if !memory.InRange(w.key, w.end, e.Entry.Key) {
			continue
		}
		event := &mvccpb.Event{Kv: &mvccpb.KeyValue{Key: []byte(e.Entry.Key), ModRevision: e.Entry.ModRevision}}
		if e.Deleted {
			event.Type = mvccpb.Event_DELETE
		} else {
			event.Kv.Value, event.Kv.CreateRevision = e.Entry.Value, e.Entry.CreateRevision
			event.Kv.Lease = int64(e.Entry.Lease)
		}
		response.Events = append(response.Events, event)
	}
	if len(response.Events) == 0 {
		return nil
	}
	return response
}
