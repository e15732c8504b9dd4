package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that an endpoint has run.
type arrival struct {
	request, tenant string
	at              time.Time
}

// endpoint is a plain endpoint. It runs every request that names it.
type endpoint struct {
	record  *record
	id      string
	zone    string
	address string
	born    int64
	server  *http.Server
	// limit is the header Server-Limit of all answers; none if it is empty.
	limit string

	// workTime is the time that the endpoint works on a request.
	workTime time.Duration

	mu       sync.Mutex
	arrivals []arrival
	// coldUntil is the end of the cold start.
	coldUntil time.Time
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	if in.URL.Path == "/healthz" {
		return
	}
	id := in.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := in.Header.Get("X-Expected-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := arrival{request: id, tenant: in.Header.Get("X-Tenant"), at: time.Now()}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, a)
	e.mu.Unlock()
	e.record.writef("endpoint %s runs request %s of tenant %s", e.id, id, a.tenant)
	if e.limit != "" {
		w.Header().Set("Server-Limit", e.limit)
	}
	time.Sleep(e.workTime)
	w.Header().Set("X-Server-Signature", "signed-by-"+e.id)
	_, _ = fmt.Fprintf(w, "%s %s by %s", in.Method, in.URL.RequestURI(), e.id)
}

// ran returns the requests that the endpoint has run.
func (e *endpoint) ran() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}

// entry returns the endpoint's entry in the store.
func (e *endpoint) entry(state string) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	return encode(map[string]any{
		"service": serviceName, "address": e.address, "zone": e.zone, "version": "v1", "slots": 6, "state": state, "coldLeftMs": max(0, time.Until(e.coldUntil).Milliseconds()),
		"sequence": 1, "born": e.born,
	})
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		// Encoding maps of plain values cannot fail.
		panic(err)
	}
	return data
}
