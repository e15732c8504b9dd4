package kvserver

import "azuredyke.dev/azuredyke/gen/etcdserverpb"

// openWatchMessage opens a watch on a stream.
type openWatchMessage struct {
	stream  *watchStream
	request *etcdserverpb.WatchCreateRequest
}

func (m openWatchMessage) handle(t *task) {
	if t.outage == OutageRefuse {
		m.stream.end()
		return
	}
	w := &watcher{
		stream: m.stream, id: m.request.GetWatchId(), key: string(m.request.GetKey()), end: string(m.request.GetRangeEnd()),
		from: m.request.GetStartRevision(),
	}
	if w.id == 0 {
		w.id = m.stream.nextID
	}
	m.stream.nextID = w.id + 1
	if w.from == 0 {
		w.from = t.store.Revision() + 1
	}
	if !m.send(&etcdserverpb.WatchResponse{Header: t.header(), WatchId: w.id, Created: true}) {
		return
	}
	past, err := t.store.Since(w.from)
	if err != nil {
		m.send(&etcdserverpb.WatchResponse{
			Header: t.header(), WatchId: w.id, Canceled: true, CompactRevision: t.store.Oldest(),
		})
		return
	}
	t.watchers[w] = struct{}{}
	t.countWatches()
	for _, batch := range past {
		t.offer(w, batch)
	}
}

// send sends a response, or ends a stream that does not read.
func (m openWatchMessage) send(response *etcdserverpb.WatchResponse) bool {
	select {
	case m.stream.out <- response:
		return true
	default:
		m.stream.end()
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
			m.stream.end()
		}
	}
	t.countWatches()
}

// closeStreamMessage says that a stream has ended.
type closeStreamMessage struct {
	stream *watchStream
}

func (m closeStreamMessage) handle(t *task) { t.breakStream(m.stream) }
