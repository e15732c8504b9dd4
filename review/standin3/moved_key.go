package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// otherTenant is the tenant to which the key moves.
	otherTenant = "rova114"
	// noteEvents is the number of events of an answer, noteEventInterval the time between two of them.
	noteEvents        = 24
	noteEventInterval = 200 * time.Millisecond
	// moveAfter is the time from the begin of the streams to the move of their key, crashAt that to the crash of an engine.
	moveAfter = 500 * time.Millisecond
	crashAt   = 4 * time.Second
	// applyBound is the bound configApplyMs of the site.
	applyBound = 2 * time.Second
)

// tenantRun is a run with the tenant that the engine was told.
type tenantRun struct {
	request, tenant string
	at              time.Time
}

// tenantEngine is a model engine that records the tenants of its runs.
type tenantEngine struct {
	*engine
	mu   sync.Mutex
	runs []tenantRun
}

// ServeHTTP implements http.Handler.
func (e *tenantEngine) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	if expected := in.Header.Get("X-Expected-Instance"); in.URL.Path != "/triaje/2f" || expected != e.id {
		e.engine.ServeHTTP(w, in)
		return
	}
	run := tenantRun{request: in.Header.Get("X-Request-Id"), tenant: in.Header.Get("X-Tenant"), at: time.Now()}
	last, _ := strconv.Atoi(in.Header.Get("Last-Event-Id"))
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	e.record.writef("engine %s runs %s of tenant %s from event %d on", e.id, run.request, run.tenant, last+1)
	w.Header().Set("X-Request-Id", run.request)
	w.Header().Set("X-Server-Signature", "signed-by-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= noteEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", n, n, run.request); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(noteEventInterval):
		case <-in.Context().Done():
			return
		}
	}
}

// movedKeyConfiguration returns a configuration in which a tenant holds the key.
func movedKeyConfiguration(version int, holder string) []byte {
	tenants := []any{}
	for _, name := range []string{tenantName, otherTenant} {
		keys := []string{"wsjnbanfqasnmgkcuyj8-" + name}
		if name == holder {
			keys = append(keys, engineKey)
		}
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": keys, "priority": 1})
	}
	return encode(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "triaje", "hostname": hostName, "pathPrefix": "/triaje/", "type": "streaming", "timeoutMs": 6000, "sloMs": 1500,
			"priority": 0, "service": engineService, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapSloMs": 180,
		}},
		"services": []any{engineServiceConfiguration()},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  tenants,
	})
}

// playMovedKey moves a key to another tenant while streams with it run, and crashes one of the engines later. The rule is broken if a
// request begins to run under the tenant that no longer holds its key, later than applyBound after the store acknowledged that.
func playMovedKey(s *site) (bool, error) {
	s.store.put("op/config", movedKeyConfiguration(7, tenantName))
	var engines []*tenantEngine
	var servers []*http.Server
	for i := range 3 {
		e := &tenantEngine{engine: &engine{record: s.record, id: fmt.Sprintf("i-7f3a91c%d", i), zone: fmt.Sprintf("andino-%c", 'a'+i%2), born: time.Now().UnixMilli()}}
		server, address, err := s.serve("127.0.0.1:0", e)
		if err != nil {
			return false, err
		}
		s.servers, servers = append(s.servers, server), append(servers, server)
		e.address = address
		engines = append(engines, e)
		s.store.put("servers/"+e.id, e.entry())
	}
	for _, zone := range []string{"andino-a", "andino-b"} {
		if _, err := s.addNode("edge-"+zone+"-1", zone); err != nil {
			return false, err
		}
	}
	for _, n := range s.nodes {
		if err := n.awaitReady(); err != nil {
			return false, err
		}
	}
	clients := newClient(s.record)
	for i := range 12 {
		id := clients.nextID()
		n := s.nodes[i%len(s.nodes)]
		s.record.writef("client sends request %s to %s", id, n.name)
		clients.running.Go(func() {
			clients.ask(n, http.MethodPost, "/triaje/2f", id, engineKey, 6*time.Second, "body of "+id, map[string]string{
				"X-Model": "m", "X-Token-Usage": fmt.Sprintf("100,%d", 4*noteEvents), "X-Prompt-Prefix": "5c1e07a2:60," + id[8:] + ":40",
			})
		})
	}
	time.Sleep(moveAfter)
	s.store.put("op/config", movedKeyConfiguration(9, otherTenant))
	moved := time.Now()
	s.record.writef("operator: the key has moved from %s to %s", tenantName, otherTenant)
	time.Sleep(crashAt - moveAfter)
	if s.trouble {
		s.record.writef("engine %s crashes", engines[0].id)
		_ = servers[0].Close()
	}
	clients.running.Wait()
	held, after := true, 0
	for _, e := range engines {
		for _, r := range e.runs {
			if r.at.Sub(moved) <= applyBound {
				continue
			}
			after++
			if r.tenant == tenantName {
				held = false
				s.record.writef("broken: %s began to run %s as %s, %v after the key had moved", e.id, r.request, r.tenant, r.at.Sub(moved).Round(time.Millisecond))
			}
		}
	}
	s.record.writef("runs that began later than %v after the move: %d", applyBound, after)
	return held, nil
}
