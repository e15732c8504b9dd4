package engine

import (
	"net/http"
	"strconv"
	"time"
)

// maxCacheEvents bounds the kept cache events; older ones are a gap for the reader.
const maxCacheEvents = 16384

// cacheEventsMessage asks for the cache events after a number.
type cacheEventsMessage struct {
	after int64
	reply chan<- []CacheEvent
}

// takenCacheEvent is a cache event and when it happened.
type takenCacheEvent struct {
	taken time.Time
	CacheEvent
}

func (m cacheEventsMessage) handle(t *task) {
	now := time.Now()
	shown := []CacheEvent{}
	for _, e := range t.cacheEvents {
		if e.Number > m.after && now.Sub(e.taken) >= t.options.CacheEventLag {
			shown = append(shown, e.CacheEvent)
		}
	}
	m.reply <- shown
}

// cacheChanged records a cache event, or loses it.
func (t *task) cacheChanged(kind CacheEventKind, block uint64) {
	t.cacheNumber++
	if t.losses.Float64() < t.options.CacheEventLoss {
		return
	}
	if len(t.cacheEvents) >= maxCacheEvents {
		t.cacheEvents = append([]takenCacheEvent(nil), t.cacheEvents[maxCacheEvents/2:]...)
	}
	t.cacheEvents = append(t.cacheEvents, takenCacheEvent{taken: time.Now(), CacheEvent: CacheEvent{
		Number: t.cacheNumber, Kind: kind, Block: strconv.FormatUint(block, 16),
	}})
}

// serveCacheEvents serves GET /cache-events?after=N.
func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		writeError(w, http.StatusBadRequest, "after is not a number")
		return
	}
	events := ask(s, r, func(reply chan<- []CacheEvent) message { return cacheEventsMessage{after: after, reply: reply} })
	writeJSON(w, http.StatusOK, map[string]any{"events": events})
}
