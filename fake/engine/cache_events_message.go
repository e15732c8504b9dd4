package engine

import (
	"net/http"
	"strconv"
	"time"
)

// maxCacheEvents bounds the retained cache events; discarded ones appear as a gap in the numbers.
const maxCacheEvents = 16384

// cacheEventsMessage requests the cache events whose numbers are above after.
type cacheEventsMessage struct {
	after int64
	reply chan<- []CacheEvent
}

// recordedCacheEvent is a cache event with its time.
type recordedCacheEvent struct {
	recordedAt time.Time
	CacheEvent
}

func (m cacheEventsMessage) handle(t *task) {
	now := time.Now()
	shown := []CacheEvent{}
	for _, e := range t.cacheEvents {
		if e.Number > m.after && now.Sub(e.recordedAt) >= t.options.CacheEventLag {
			shown = append(shown, e.CacheEvent)
		}
	}
	m.reply <- shown
}

// recordCacheEvent records a cache event, or drops it with probability Options.CacheEventLoss. A dropped event uses up
// its number.
func (t *task) recordCacheEvent(kind CacheEventKind, block uint64) {
	t.lastCacheEvent++
	if t.lossRand.Float64() < t.options.CacheEventLoss {
		return
	}
	if len(t.cacheEvents) >= maxCacheEvents {
		t.cacheEvents = append([]recordedCacheEvent(nil), t.cacheEvents[maxCacheEvents/2:]...)
	}
	t.cacheEvents = append(t.cacheEvents, recordedCacheEvent{recordedAt: time.Now(), CacheEvent: CacheEvent{
		Number: t.lastCacheEvent, Kind: kind, Block: strconv.FormatUint(block, 16),
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
