package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// prefillTime is the time until the first event of a run, eventInterval the time between two events.
	prefillTime   = 40 * time.Millisecond
	eventInterval = 20 * time.Millisecond
	// eventCount is the number of events of an answer.
	eventCount = 60
)

// engineRun is a request that an engine has run.
type engineRun struct {
	request string
	at      time.Time
	// deadly is set if the request crashed the engine, begun if the engine has sent an event.
	deadly, begun bool
}

// engine is a model engine. It has no room for copies of the memory of runs.
type engine struct {
	record  *record
	id      string
	zone    string
	address string
	born    int64
	// deadlyPart is the id of the part of a prompt that crashes the engine once it begins to write an answer.
	deadlyPart string
	// eventsBefore is the number of events that the engine writes before it crashes.
	eventsBefore int
	// crash ends the engine's process.
	crash func()

	mu   sync.Mutex
	runs []*engineRun
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	switch {
	case in.URL.Path == "/healthz":
		return
	case in.URL.Path == "/report":
		_, _ = fmt.Fprint(w, `{"state":"ready","busy":false,"runs":[]}`)
		return
	case strings.HasPrefix(in.URL.Path, "/kv-"):
		w.WriteHeader(http.StatusNotFound)
		return
	}
	id := in.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	switch expected := in.Header.Get("X-Expected-Instance"); {
	case expected != "" && expected != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case in.Header.Get("Kv-From") != "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := &engineRun{request: id, at: time.Now(), deadly: e.holdsDeadlyPart(in)}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	e.record.writef("engine %s runs request %s, which holds the deadly part: %t", e.id, id, run.deadly)
	w.Header().Set("X-Server-Signature", "signed-by-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(prefillTime)
	if run.deadly {
		w.WriteHeader(http.StatusOK)
		for n := range e.eventsBefore {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", n+1, n+1, id)
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventInterval)
		e.record.writef("engine %s crashes under request %s", e.id, id)
		e.crash()
		panic(http.ErrAbortHandler)
	}
	for n := range eventCount {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", n+1, n+1, id); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		e.mu.Lock()
		run.begun = true
		e.mu.Unlock()
		time.Sleep(eventInterval)
	}
}

// holdsDeadlyPart reports whether a part of the request's prompt, except the last one, is the deadly one.
func (e *engine) holdsDeadlyPart(in *http.Request) bool {
	parts := strings.Split(in.Header.Get("X-Prompt-Prefix"), ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); id == e.deadlyPart {
			return true
		}
	}
	return false
}

// ran returns the requests that the engine has run.
func (e *engine) ran() []engineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	var runs []engineRun
	for _, r := range e.runs {
		runs = append(runs, *r)
	}
	return runs
}

// entry returns the engine's entry in the store.
func (e *engine) entry() []byte {
	return encode(map[string]any{
		"service": engineService, "address": e.address, "zone": e.zone, "version": "v1", "slots": 48, "state": "ready", "coldLeftMs": 0,
		"phase": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": 1, "born": e.born,
	})
}
