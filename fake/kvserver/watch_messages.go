package kvserver

import "azuredyke.dev/azuredyke/gen/etcdserverpb"

// openWatchMessage opens a watch on a stream.
type openWatchMessage struct {
	stream  *watchStream
	request *etcdserverpb.WatchCreateRequest
}

func (m openWatchMessage) handle(t *task) {
	if t.outage == OutageRefuse {
		m.stream.abort()
		return
	}
	w := &watcher{
		stream: m.stream, id: m.request.GetWatchId(), key: string(m.request.GetKey()), end: string(m.request.GetRangeEnd()),
		startRevision: m.request.GetStartRevision(),
	}
	if w.id == 0 {
		w.id = m.stream.nextID
	}
	m.stream.nextID = w.id + 1
	if w.startRevision == 0 {
		w.startRevision = t.store.Revision() + 1
	}
	if !m.send(&etcdserverpb.WatchResponse{Header: t.header(), WatchId: w.id, Created: true}) {
		return
	}
	past, err := t.store.BatchesFrom(w.startRevision)
	if err != nil {
		m.send(&etcdserverpb.WatchResponse{
			Header: t.header(), WatchId: w.id, Canceled: true, CompactRevision: t.store.OldestRevision(),
		})
		return
	}
	t.watchers[w] = struct{}{}
	t.updateReadLimit()
	for _, batch := range past {
		t.sendEvents(w, batch)
	}
}

// send sends a response. It aborts the stream and returns false if the stream's buffer is full.
func (m openWatchMessage) send(response *etcdserverpb.WatchResponse) bool {
	select {
	case m.stream.out <- response:
		return true
	default:
		m.stream.abort()
		return false
	}
}

// closeWatchMessage closes one watch of a stream.
type closeWatchMessage struct {
	stream *watchStream
	id     int64
}

func (m closeWatchMessage) handle(t *task) {
	for w := range t.watchers {
		if w.stream != m.stream || w.id != m.id {
			continue
		}
		delete(t.watchers, w)
		select {
		case m.stream.out <- &etcdserverpb.WatchResponse{Header: t.header(), WatchId: m.id, Canceled: true}:
		default:
			m.stream.abort()
		}
	}
	t.updateReadLimit()
}

// closeStreamMessage removes the watches of a stream that has ended.
type closeStreamMessage struct {
	stream *watchStream
}

func (m closeStreamMessage) handle(t *task) { t.abortStream(m.stream) }
