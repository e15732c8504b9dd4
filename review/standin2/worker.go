package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the engines and their requests, as the sheet and the configuration state them.
const (
	promptTokens   = 3079
	tokensPerEvent = 4
	kvBytes        = 327680
	linkMbps       = 47000
)

// worker is a stand-in of one worker: an engine, or a plain application server.
type worker struct {
	id, service, zone, address string
	engine                     bool
	slots                      int
	// events is the length of an engine's answers, interval the time between two events.
	events   int
	interval time.Duration
	// work is the time that a plain request takes.
	work  time.Duration
	fleet *fleet
	// onArrival is called for each request; nil means nothing.
	onArrival func()
	// losesAnswer reports whether the answer of a run is lost: its connection is reset before the answer begins. The worker is then one
	// of those that don't drop a request when its connection closes, unless dropsLost is set. nil means that no answer is lost.
	losesAnswer func(in runRequest) bool
	dropsLost   bool
	// fails reports whether a run fails at once with the worker's own 500; nil means that none does. A grey worker fails requests before
	// it looks for the memory that they are to go on from.
	fails func(request string) bool

	// crashes reports whether a request crashes the worker when it begins to run it, and crash ends the worker; nil means that none does.
	crashes func(path string) bool
	crash   func()

	server *http.Server
	// link is held while the worker's link carries a move.
	link sync.Mutex
}

// runRequest is a request that an engine begins to run.
type runRequest struct {
	// from is Kv-From, backup X-Kv-Backup.
	id, from, backup string
}

// start serves the worker on a free loopback address.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	return nil
}

// exit ends the worker: it resets its connections and refuses new ones.
func (w *worker) exit() { _ = w.server.Close() }

// entry returns the worker's entry in the store.
func (w *worker) entry(state string) map[string]any {
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state, "coldLeftMs": 0,
		"sequence": 4, "born": 1_790_000_000_000, "phase": "mixed",
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	out.Header().Set("X-Instance-Id", w.id)
	switch {
	case in.URL.Path == "/healthz":
		out.WriteHeader(http.StatusOK)
	case in.URL.Path == "/report":
		writeJSON(out, http.StatusOK, map[string]any{"phase": "mixed", "busy": false, "sequence": 1, "waiting": 0, "running": 0, "cacheHandles": 0})
	case in.URL.Path == "/kv-move":
		w.serveMove(out, in)
	case strings.HasPrefix(in.URL.Path, "/kv-handle/"):
		w.fleet.dropCopy(w.address + "/" + strings.TrimPrefix(in.URL.Path, "/kv-handle/"))
	default:
		w.serveRequest(out, in)
	}
}

func (w *worker) serveMove(out http.ResponseWriter, in *http.Request) {
	var body struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Final  bool   `json:"final"`
	}
	if json.NewDecoder(in.Body).Decode(&body) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	begin := time.Now()
	run := w.fleet.find(w.id, body.ID, body.Final)
	if run == nil {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	// Moves over one link run one after another.
	w.link.Lock()
	events := w.fleet.events(run)
	time.Sleep(time.Duration(float64(promptTokens+tokensPerEvent*events) * float64(kvBytes) * 8 / linkMbps * float64(time.Microsecond)))
	w.link.Unlock()
	handle := "h-" + body.ID
	w.fleet.finishMove(run, body.Target, w.address+"/"+handle, events, time.Since(begin))
	writeJSON(out, http.StatusOK, map[string]any{"cacheHandle": handle, "created": events})
}

func (w *worker) serveRequest(out http.ResponseWriter, in *http.Request) {
	_, _ = io.Copy(io.Discard, in.Body)
	id, status := in.Header.Get("X-Request-Id"), http.StatusOK
	from := in.Header.Get("Kv-From")
	if w.onArrival != nil {
		w.onArrival()
	}
	switch expected := in.Header.Get("X-Expected-Instance"); {
	case expected != "" && expected != w.id:
		status = http.StatusMisdirectedRequest
	case id == "":
		status = http.StatusBadRequest
	case w.fails != nil && w.fails(id):
		status = http.StatusInternalServerError
	case from != "" && !w.fleet.takeCopy(w.address, from):
		status = http.StatusServiceUnavailable
	}
	w.fleet.arrive(arrival{worker: w.id, request: id, path: in.RequestURI, at: time.Now(), status: status})
	if id != "" {
		out.Header().Set("X-Request-Id", id)
	}
	if status == http.StatusInternalServerError {
		w.fleet.end(w.fleet.begin(w.id, id, from, 1, w.fleet.takeCopy(w.address, from)), "its own 500")
		out.Header().Set("X-Server-Signature", w.id+"."+id)
		out.WriteHeader(status)
		return
	}
	if status != http.StatusOK {
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(status)
		return
	}
	out.Header().Set("X-Server-Signature", w.id+"."+id)
	if w.engine {
		w.serveStream(out, in, id, from)
		return
	}
	w.servePlain(out, in, id)
}

func (w *worker) servePlain(out http.ResponseWriter, in *http.Request, id string) {
	w.fleet.record.log("worker %s runs %s %s", w.id, id, in.RequestURI)
	if w.crashes != nil && w.crashes(in.RequestURI) {
		w.crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(w.work)
	body := fmt.Sprintf("%s of %s", id, w.service)
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(out, body)
}

func (w *worker) serveStream(out http.ResponseWriter, in *http.Request, id, from string) {
	first := 1
	if last, err := strconv.Atoi(in.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	run, backup := w.fleet.begin(w.id, id, from, first, from != ""), in.Header.Get("X-Kv-Backup")
	gone, flush := in.Context().Done(), func() { _ = http.NewResponseController(out).Flush() }
	var sink io.Writer = out
	if w.losesAnswer != nil && w.losesAnswer(runRequest{id: id, from: from, backup: backup}) {
		w.fleet.record.log("the answer of engine %s to %s is lost: its connection is reset", w.id, id)
		if conn, _, err := http.NewResponseController(out).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		if w.dropsLost {
			w.fleet.end(run, "its connection was closed")
			return
		}
		gone, flush, sink = nil, func() {}, io.Discard
	} else {
		out.Header().Set("Content-Type", "text/event-stream")
	}
	for run.events < w.events {
		select {
		case <-time.After(w.interval):
		case <-gone:
			w.fleet.end(run, "its connection was closed")
			return
		case <-run.stop:
			panic(http.ErrAbortHandler)
		}
		n := w.fleet.advance(run, backup)
		_, _ = fmt.Fprintf(sink, "id: %d\ndata: %d of %s\n\n", n, n, id)
		flush()
	}
	w.fleet.end(run, "complete")
}
