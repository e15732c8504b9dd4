package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// tokensPerEvent and stepTime are those of the deployment: an event holds 4 tokens, and a step takes 7 ms and more.
	tokensPerEvent = 4
	stepTime       = 7 * time.Millisecond
	// stepLoad is by how much a step takes longer for each other request that runs.
	stepLoad = 250 * time.Microsecond
	// prefillPerMs is the number of prompt tokens that are read in a millisecond.
	prefillPerMs = 14
	// copyInterval is the time between two updates of a copy at another worker.
	copyInterval = 200 * time.Millisecond
	// backAfter is the time after which a worker that crashed is back.
	backAfter = 3 * time.Second
	// missedBeats is the number of heartbeats of silence after which the entry of a worker is removed.
	missedBeats = 3
)

// prompt is the body of a request: the number of tokens that the answer has.
type prompt struct {
	Answer int `json:"answer"`
}

// currentRun is a run that is in progress.
type currentRun struct {
	// stop ends the run without the end of its stream.
	stop context.CancelFunc
	// events is the number of events made so far.
	events atomic.Int64
}

// deskWork is the time that a booking takes.
const deskWork = 60 * time.Millisecond

// worker is one model server, or one server of the order desk. It serves at the same address in all its incarnations.
type worker struct {
	site    *site
	name    string
	service string
	zone    string
	address string
	// crashesUnder reports whether a request crashes the worker that runs it, and how long after the begin of its run.
	crashesUnder func(path string) (after time.Duration, crashes bool)
	// worksOn is set if the worker doesn't notice that a connection was closed. It works until the end or the deadline of the run.
	worksOn bool

	mu          sync.Mutex
	incarnation int
	server      *http.Server
	endBeats    context.CancelFunc
	entry       map[string]any
	leaving     bool
	running     int
	runs        map[string]*currentRun
	down        bool
	stopped     bool
}

// addWorker starts a worker and registers it in the store.
func (s *site) addWorker(name, zone string, crashesUnder func(string) (time.Duration, bool)) error {
	return s.addWorkerOf(engineService, name, zone, crashesUnder)
}

// addWorkerOf starts a worker of a service and registers it in the store.
func (s *site) addWorkerOf(service, name, zone string, crashesUnder func(string) (time.Duration, bool)) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w := &worker{site: s, service: service, name: name, zone: zone, address: l.Addr().String(), crashesUnder: crashesUnder}
	s.fleet.mu.Lock()
	s.fleet.workers = append(s.fleet.workers, w)
	s.fleet.mu.Unlock()
	return w.serve(l)
}

// id returns the id of the present incarnation.
func (w *worker) id() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("i-%s-%d", w.name, w.incarnation)
}

// serve begins a new incarnation.
func (w *worker) serve(l net.Listener) error {
	w.mu.Lock()
	w.incarnation++
	w.running, w.down, w.leaving, w.runs = 0, false, false, map[string]*currentRun{}
	id := fmt.Sprintf("i-%s-%d", w.name, w.incarnation)
	server := &http.Server{Handler: &incarnation{worker: w, id: id}, ReadHeaderTimeout: 5 * time.Second}
	beats, endBeats := context.WithCancel(w.site.ctx)
	w.server, w.endBeats = server, endBeats
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": engineSlots, "state": "ready",
		"coldLeftMs": 0, "phase": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"sequence": 0, "born": time.Now().UnixMilli(),
	}
	w.mu.Lock()
	w.entry = entry
	w.mu.Unlock()
	if err := w.site.put("servers/"+id, entry); err != nil {
		return err
	}
	w.site.tasks.Go(func() { w.beat(beats, id) })
	return nil
}

// beat writes the entry at each heartbeat. When the incarnation has ended, the platform removes the entry after three heartbeats
// of silence.
func (w *worker) beat(ctx context.Context, id string) {
	for sequence := 1; ; sequence++ {
		select {
		case <-time.After(heartbeat):
			if w.putEntry(id, map[string]any{"sequence": sequence}) != nil {
				return
			}
		case <-ctx.Done():
			select {
			case <-time.After(missedBeats * heartbeat):
				w.site.remove("servers/" + id)
			case <-w.site.ctx.Done():
			}
			return
		}
	}
}

// putEntry writes the entry with the given changes.
func (w *worker) putEntry(id string, changes map[string]any) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.Copy(w.entry, changes)
	return w.site.put("servers/"+id, w.entry)
}

// drain announces that the worker leaves. It serves its runs until it ends, after the given time.
func (w *worker) drain(endsAfter time.Duration) {
	id := w.id()
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	if err := w.putEntry(id, map[string]any{"state": "draining"}); err != nil {
		w.site.log.add("the entry of %s could not be written: %v", id, err)
	}
	w.site.log.add("%s leaves; the store has acknowledged it", w.name)
	time.AfterFunc(endsAfter, func() {
		w.mu.Lock()
		w.endBeats()
		w.mu.Unlock()
		w.stop()
		w.site.remove("servers/" + id)
		w.site.log.add("%s has ended", w.name)
	})
}

func (w *worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// crash ends the process of the worker: its connections close and its port refuses new ones. The worker is back after backAfter.
func (w *worker) crash(under string) {
	w.mu.Lock()
	if w.down || w.stopped {
		w.mu.Unlock()
		return
	}
	w.down = true
	server := w.server
	w.endBeats()
	w.mu.Unlock()
	w.site.fleet.addCrash()
	w.site.fleet.dropCopies(w.address)
	w.site.log.add("%s crashes under %s", w.name, under)
	_ = server.Close()
	time.AfterFunc(backAfter, func() {
		w.mu.Lock()
		stopped := w.stopped
		w.mu.Unlock()
		l, err := net.Listen("tcp", w.address)
		if stopped || err != nil {
			return
		}
		if w.serve(l) == nil {
			w.site.log.add("%s is back as %s", w.name, w.id())
		}
	})
}

// stop ends the worker for good.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.server != nil {
		_ = w.server.Close()
	}
}

// incarnation is the HTTP handler of one incarnation of a worker.
type incarnation struct {
	*worker
	id string
}

// ServeHTTP implements http.Handler.
func (w *incarnation) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	header := out.Header()
	header.Set("X-Instance-Id", w.id)
	switch {
	case in.URL.Path == "/report":
		_ = json.NewEncoder(out).Encode(map[string]any{"phase": "mixed", "busy": false, "sequence": 0, "running": w.runningNow(), "state": map[bool]string{false: "ready", true: "draining"}[w.isLeaving()]})
		return
	case in.URL.Path == "/kv-move":
		w.move(out, in)
		return
	case strings.HasPrefix(in.URL.Path, "/kv-handle/"):
		w.site.fleet.takeCopy(w.address + "/" + strings.TrimPrefix(in.URL.Path, "/kv-handle/"))
		return
	case in.URL.Path == "/healthz":
		return
	}
	id := in.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", id)
	if w.isLeaving() {
		header.Set("Server-Leaving", "1")
		header.Set("Connection", "close")
	}
	if expected := in.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(in.Body)
	var p prompt
	if err != nil || id == "" || w.service == engineService && json.Unmarshal(body, &p) != nil {
		header.Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	from := in.Header.Get("Kv-From")
	a := arrival{worker: w.name, id: id, path: in.URL.Path, at: time.Now(), continued: from != ""}
	a.refused = !w.admit(from)
	w.site.fleet.addArrival(a)
	if a.refused {
		w.site.log.add("%s does not run %s", w.name, id)
		header.Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.release()
	if w.service == deskService {
		w.book(out, in)
		return
	}
	w.generate(out, in, p, from)
}

// book runs a booking. It drops the request when its connection closes.
func (w *incarnation) book(out http.ResponseWriter, in *http.Request) {
	id := in.Header.Get("X-Request-Id")
	w.site.log.add("%s runs %s", w.name, id)
	if !sleep(in.Context(), deskWork) {
		w.site.log.add("%s drops %s: its connection was closed", w.name, id)
		return
	}
	out.Header().Set("X-Server-Signature", "signed-by-"+w.id)
	_, _ = fmt.Fprintf(out, "booked %s", id)
	w.site.log.add("%s has booked %s", w.name, id)
}

// move copies the memory of a run to another worker. A final call stops the run first.
func (w *incarnation) move(out http.ResponseWriter, in *http.Request) {
	var call struct {
		ID    string `json:"id"`
		Final bool   `json:"final"`
	}
	if json.NewDecoder(in.Body).Decode(&call) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	current, ok := w.runs[call.ID]
	w.mu.Unlock()
	if !ok {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	if call.Final {
		current.stop()
	}
	created := int(current.events.Load())
	handle := fmt.Sprintf("h-%s-%d", call.ID, created)
	w.site.fleet.setCopy(w.address+"/"+handle, created)
	_ = json.NewEncoder(out).Encode(map[string]any{"cacheHandle": handle, "created": created})
}

func (w *worker) runningNow() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

// admit takes a slot, and the copy from which the run goes on. It returns false if there is none.
func (w *worker) admit(from string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= engineSlots || from != "" && !w.site.fleet.takeCopy(from) {
		return false
	}
	w.running++
	return true
}

func (w *worker) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = max(0, w.running-1)
}

// generate runs a request until its end, its deadline or the close of its connection.
func (w *incarnation) generate(out http.ResponseWriter, in *http.Request, p prompt, from string) {
	id, backup := in.Header.Get("X-Request-Id"), in.Header.Get("X-Kv-Backup")
	ctx := in.Context()
	if w.worksOn {
		ctx = context.WithoutCancel(ctx)
	}
	if ms, err := strconv.Atoi(in.Header.Get("X-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	current := &currentRun{stop: stop}
	w.mu.Lock()
	runs := w.runs
	runs[id] = current
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(runs, id)
	}()
	first := 1
	if last, err := strconv.Atoi(in.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	if from == "" {
		prompted, _, _ := strings.Cut(in.Header.Get("X-Token-Usage"), ",")
		tokens, _ := strconv.Atoi(prompted)
		if !sleep(ctx, time.Duration(tokens/prefillPerMs)*time.Millisecond) {
			return
		}
	}
	w.site.log.add("%s runs %s%s from event %d, tenant %q", w.name, id, map[bool]string{true: " again, from its copy,"}[from != ""], first, in.Header.Get("X-Tenant"))
	if after, crashes := w.crashesUnder(in.URL.Path); crashes {
		time.AfterFunc(after, func() { w.crash(id) })
	}
	w.site.fleet.setUnfinished(id, true)
	defer w.site.fleet.beginRun(w.name, id, from != "")()
	header := out.Header()
	header.Set("X-Server-Signature", "signed-by-"+w.id)
	header.Set("X-Weight-Versions", "1")
	header.Set("Content-Type", "text/event-stream")
	var copied time.Time
	last := (p.Answer + tokensPerEvent - 1) / tokensPerEvent
	for n := first; n <= last; n++ {
		if !sleep(ctx, tokensPerEvent*(stepTime+time.Duration(w.runningNow()-1)*stepLoad)) {
			if in.Context().Err() != nil && !w.isDown() {
				w.site.fleet.setUnfinished(id, false)
				w.site.log.add("%s stops %s after event %d: its connection was closed", w.name, id, n-1)
			}
			return
		}
		current.events.Store(int64(n))
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s %d/%d\n\n", n, id, n, last); err != nil && !w.worksOn {
			return
		}
		_ = http.NewResponseController(out).Flush()
		if backup != "" && time.Since(copied) >= copyInterval {
			copied = time.Now()
			w.site.fleet.setCopy(backup+"/"+id, n)
		}
	}
	w.site.fleet.setUnfinished(id, false)
	w.site.log.add("%s ends %s after event %d", w.name, id, last)
}

func (w *worker) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

// sleep waits and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
