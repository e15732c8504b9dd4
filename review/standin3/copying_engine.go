package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// copyInterval is the interval at which the memory of a run is sent to its backup.
	copyInterval = 200 * time.Millisecond
	// handleTTL is the time after its last part for which a copy is kept.
	handleTTL = 5 * time.Second
	// tokensPerEvent is the number of tokens in one event.
	tokensPerEvent = 4
)

// memoryRun is a run of a request at one engine.
type memoryRun struct {
	request string
	engine  *copyingEngine
	at      time.Time
	// isNew is set unless the run continued from a copy. failed is set if the engine answered it with its own 500.
	isNew, failed bool
	// backup is the address of the engine that is to hold a copy; empty if there is none.
	backup string
	// tokens is the memory of the run; it is 0 once the run has ended.
	tokens int
	// stop is closed by a final move.
	stop chan struct{}
}

// engineFleet is the state of all engines that copy memory.
type engineFleet struct {
	record *record
	// capacity is the memory of one engine in tokens, interval the time between two events.
	capacity int
	interval time.Duration

	mu      sync.Mutex
	engines []*copyingEngine
	runs    []*memoryRun
	// copies holds the copies by the name that a request gives in Kv-From: the address of the engine that holds the copy, or of the one
	// that has moved it, and the id of the copy.
	copies map[string]memoryCopy
	// refusedCopies counts the times at which a backup had no room.
	refusedCopies int
}

// memoryCopy is a copy of the memory of a run.
type memoryCopy struct {
	// holder is the address of the engine that holds the copy, tokens its size, updated the time of its last part.
	holder  string
	tokens  int
	updated time.Time
}

// copyingEngine is a model engine that sends the memory of its runs to their backups as far as these have room.
type copyingEngine struct {
	fleet             *engineFleet
	id, zone, address string
	born              int64
	state             string
	// failures is the share of requests that the engine answers with its own 500.
	failures float64
	// retryAfter is the Retry-After time in seconds of the 503 that the engine gives to new requests; it gives none if this is empty.
	retryAfter string
	// visits are the requests that have reached the engine.
	visits []visit
}

// visit is a request that has reached an engine.
type visit struct {
	request string
	at      time.Time
	// turnedAway is set if the engine answered with 503 and Retry-After.
	turnedAway bool
}

// used returns the memory of an engine that is taken by runs and copies. The caller holds the lock.
func (f *engineFleet) used(e *copyingEngine) int {
	total := 0
	for _, r := range f.runs {
		if r.engine == e {
			total += r.tokens
		}
	}
	maps.DeleteFunc(f.copies, func(_ string, c memoryCopy) bool { return time.Since(c.updated) > handleTTL })
	for _, c := range f.copies {
		if c.holder == e.address {
			total += c.tokens
		}
	}
	return total
}

// setFailures sets the share of requests that an engine answers with its own 500.
func (f *engineFleet) setFailures(e *copyingEngine, share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.failures = share
	f.record.writef("engine %s fails %.2f of its requests from now on", e.id, share)
}

// withoutCopy returns the engine that is the backup of the most runs without having a copy of them, and the engines of these runs, those with
// the most of them first.
func (f *engineFleet) withoutCopy() (backup *copyingEngine, sources []*copyingEngine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[*copyingEngine]map[*copyingEngine]int{}
	most := -1
	for _, b := range f.engines {
		counts[b] = map[*copyingEngine]int{}
		total := 0
		for _, r := range f.runs {
			if r.tokens > 0 && r.backup == b.address && f.copies[b.address+"/"+r.request].tokens == 0 {
				counts[b][r.engine]++
				total++
			}
		}
		if total > most {
			most, backup = total, b
		}
	}
	sources = slices.DeleteFunc(slices.Clone(f.engines), func(e *copyingEngine) bool { return e == backup })
	slices.SortFunc(sources, func(a, b *copyingEngine) int { return counts[backup][b] - counts[backup][a] })
	f.record.writef("engine %s is the backup of %d runs without a copy", backup.id, most)
	return backup, sources
}

// drain makes an engine say that it is leaving. It goes on serving.
func (f *engineFleet) drain(e *copyingEngine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.state = "draining"
	f.record.writef("engine %s is draining and goes on serving", e.id)
}

// ServeHTTP implements http.Handler.
func (e *copyingEngine) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	switch {
	case in.URL.Path == "/healthz":
		return
	case in.URL.Path == "/report":
		e.fleet.mu.Lock()
		state := e.state
		e.fleet.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"state": state, "busy": false, "runs": []any{}})
		return
	case in.URL.Path == "/kv-move":
		e.serveMove(w, in)
		return
	case strings.HasPrefix(in.URL.Path, "/kv-handle/"):
		e.fleet.mu.Lock()
		delete(e.fleet.copies, e.address+strings.TrimPrefix(in.URL.Path, "/kv-handle"))
		e.fleet.mu.Unlock()
		return
	case strings.HasPrefix(in.URL.Path, "/kv-"):
		return
	}
	id := in.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := in.Header.Get("X-Expected-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.turnsAway(id, in) {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("Retry-After", e.retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := e.begin(id, in)
	if run == nil {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end(run)
	w.Header().Set("X-Server-Signature", "signed-by-"+e.id)
	if run.failed {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = fmt.Fprint(w, "failed")
		return
	}
	e.generate(w, in, run)
}

// turnsAway records a request that has reached the engine, and reports whether the engine turns it away for some time.
func (e *copyingEngine) turnsAway(id string, in *http.Request) bool {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	from := in.Header.Get("Kv-From")
	v := visit{request: id, at: time.Now(), turnedAway: e.retryAfter != "" && from == ""}
	e.visits = append(e.visits, v)
	if v.turnedAway {
		f.record.writef("engine %s turns %s away, Retry-After %s", e.id, id, e.retryAfter)
	}
	return v.turnedAway
}

// begin begins a run, from a copy if the request names one. It returns nil if the engine does not run the request.
func (e *copyingEngine) begin(id string, in *http.Request) *memoryRun {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	from := in.Header.Get("Kv-From")
	hasCopy := f.copies[from].holder == e.address && time.Since(f.copies[from].updated) <= handleTTL
	run := &memoryRun{request: id, engine: e, at: time.Now(), isNew: !hasCopy, backup: in.Header.Get("X-Kv-Backup"), failed: rand.Float64() < e.failures, stop: make(chan struct{})}
	if from != "" && !hasCopy && !run.failed {
		f.record.writef("engine %s refuses %s: it has no copy", e.id, id)
		return nil
	}
	prompt, _, _ := strings.Cut(in.Header.Get("X-Token-Usage"), ",")
	run.tokens, _ = strconv.Atoi(prompt)
	if from == "" && f.used(e)+run.tokens > f.capacity {
		f.record.writef("engine %s refuses %s: it is full", e.id, id)
		return nil
	}
	if hasCopy {
		delete(f.copies, from)
	}
	last, _ := strconv.Atoi(in.Header.Get("Last-Event-Id"))
	run.tokens += last * tokensPerEvent
	f.runs = append(f.runs, run)
	f.record.writef("engine %s runs %s, from %q, as a new run: %t, and fails it: %t; memory in use: %d of %d", e.id, id, from, run.isNew, run.failed,
		f.used(e), f.capacity)
	return run
}

// end ends a run.
func (e *copyingEngine) end(run *memoryRun) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	run.tokens = 0
}

// generate writes the events of a run.
func (e *copyingEngine) generate(w http.ResponseWriter, in *http.Request, run *memoryRun) {
	f := e.fleet
	events := outputTokens(in) / tokensPerEvent
	w.Header().Set("Content-Type", "text/event-stream")
	backup := in.Header.Get("X-Kv-Backup")
	last, _ := strconv.Atoi(in.Header.Get("Last-Event-Id"))
	copied := time.Now()
	for n := last + 1; n <= events; n++ {
		if !e.awaitMemory(in, run) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", n, n, run.request); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if backup != "" && time.Since(copied) >= copyInterval {
			copied = time.Now()
			f.sendCopy(run, backup)
		}
		select {
		case <-time.After(f.interval):
		case <-in.Context().Done():
			return
		case <-run.stop:
			panic(http.ErrAbortHandler)
		}
	}
	f.mu.Lock()
	delete(f.copies, backup+"/"+run.request)
	f.mu.Unlock()
}

// outputTokens returns the number of tokens that a request generates, which its body states for the stand-in.
func outputTokens(in *http.Request) int {
	body, _ := io.ReadAll(in.Body)
	n, _ := strconv.Atoi(string(body))
	return n
}

// awaitMemory takes the memory of one event. Without room, all runs but the oldest wait, as if preempted.
func (e *copyingEngine) awaitMemory(in *http.Request, run *memoryRun) bool {
	f := e.fleet
	for {
		f.mu.Lock()
		oldest := f.runs[slices.IndexFunc(f.runs, func(r *memoryRun) bool { return r.engine == e && r.tokens > 0 })]
		if f.used(e)+tokensPerEvent <= f.capacity || oldest == run {
			run.tokens += tokensPerEvent
			f.mu.Unlock()
			return true
		}
		f.mu.Unlock()
		select {
		case <-time.After(f.interval):
		case <-in.Context().Done():
			return false
		case <-run.stop:
			return false
		}
	}
}

// sendCopy brings the copy of a run at its backup up to date if the backup has room.
func (f *engineFleet) sendCopy(run *memoryRun, backup string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.engines, func(e *copyingEngine) bool { return e.address == backup })
	if i < 0 || run.tokens == 0 {
		return
	}
	name := backup + "/" + run.request
	if f.used(f.engines[i])+run.tokens-f.copies[name].tokens > f.capacity {
		if f.copies[name].tokens == 0 {
			f.refusedCopies++
		}
		return
	}
	f.copies[name] = memoryCopy{holder: backup, tokens: run.tokens, updated: time.Now()}
}

// serveMove copies the memory of a run to another engine. A final move stops the run first.
func (e *copyingEngine) serveMove(w http.ResponseWriter, in *http.Request) {
	var body struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Final  bool   `json:"final"`
	}
	if json.NewDecoder(in.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.runs, func(r *memoryRun) bool { return r.engine == e && r.request == body.ID && r.tokens > 0 })
	if i < 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	run := f.runs[i]
	size := run.tokens
	if body.Final {
		run.tokens = 0
		close(run.stop)
	}
	handle := "moved-" + body.ID
	name := e.address + "/" + handle
	target := slices.IndexFunc(f.engines, func(t *copyingEngine) bool { return t.address == body.Target })
	if target < 0 || f.used(f.engines[target])+size-f.copies[name].tokens > f.capacity {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.copies[name] = memoryCopy{holder: body.Target, tokens: size, updated: time.Now()}
	writeJSON(w, http.StatusOK, map[string]any{"cacheHandle": handle, "created": size / tokensPerEvent})
}

// entry returns the engine's entry in the store.
func (e *copyingEngine) entry() []byte {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return encode(map[string]any{
		"service": engineService, "address": e.address, "zone": e.zone, "version": "v1", "slots": 48, "state": e.state, "coldLeftMs": 0,
		"phase": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": 1, "born": e.born,
	})
}
