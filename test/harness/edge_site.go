package harness

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/backing/memory"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/fake/metastore"
	"azuredyke.dev/azuredyke/fake/workers"
)

// EdgeKey is a key of the site's configuration; EdgeWorkspace owns it.
const (
	EdgeKey       = "key-of-the-workspace"
	EdgeWorkspace = "workspace"
	// edgeHost is the host of all routes.
	edgeHost = "site.example"
	// edgeDeadline is how long callers wait.
	edgeDeadline = 15 * time.Second
	// StopTimeout is above the grace of the nodes.
	StopTimeout = 12 * time.Second
	// eventualTimeout bounds the waits for something that must happen.
	eventualTimeout = 20 * time.Second
)

// EdgeSite is a small copy of the users' platform: a store, workers, and nodes as processes.
type EdgeSite struct {
	t     testing.TB
	KV    *memory.KV
	Store *metastore.Server
	Fleet *workers.Fleet
	Nodes []*EdgeNode
	// Links are the paths to the workers, by id.
	Links map[string]*Link

	storeAddress string
	version      int
	hosts        map[string]*host
	// adjust changes the settings of a node before they are written.
	adjust []func(*settings.Edge)
}

// NewEdgeSite returns a site with a configuration and nodes that have not started.
func NewEdgeSite(t testing.TB, nodes int, adjust ...func(*settings.Edge)) *EdgeSite {
	t.Helper()
	s := &EdgeSite{
		t: t, KV: memory.NewKV(), Fleet: workers.NewFleet(), Links: map[string]*Link{}, hosts: map[string]*host{}, adjust: adjust,
	}
	s.Store = metastore.New(s.KV)
	store := newHost(t, s.Store.Handler(), func(ctx context.Context) { s.KV.Run(ctx) })
	newHost(t, http.NotFoundHandler(), s.Fleet.Run)
	s.storeAddress = store.address
	s.Configure(EdgeKey)
	for i := range nodes {
		s.Nodes = append(s.Nodes, s.newNode(fmt.Sprintf("node-%d", i+1), fmt.Sprintf("zone-%d", i+1)))
	}
	return s
}

// Start starts all nodes and waits until they are ready.
func (s *EdgeSite) Start() {
	for _, n := range s.Nodes {
		n.Start()
	}
	for _, n := range s.Nodes {
		s.Eventually("node "+n.Settings.Node.ID+" is ready", n.Ready)
	}
}

// newNode writes the settings of a node.
func (s *EdgeSite) newNode(id, dataCentre string) *EdgeNode {
	link := newLink(s.t, "store "+id, s.storeAddress)
	listen := settings.EdgeListen{
		Callers: freeAddress(s.t), Readiness: freeAddress(s.t), Metrics: freeAddress(s.t), Peers: freeAddress(s.t),
	}
	callers, peers := newLink(s.t, "callers "+id, listen.Callers), newLink(s.t, "peers "+id, listen.Peers)
	listen.PeersAdvertised = peers.Address()
	e := settings.Edge{
		Node: settings.Node{ID: id, DataCentre: dataCentre}, Listen: listen,
		Store:  settings.EdgeStore{Address: link.Address()},
		Limits: settings.EdgeLimits{MemoryMB: 256},
		Bounds: settings.EdgeBounds{
			Revoke: 5 * time.Second, RetryRatio: 0.2, RetryAllowance: 50, RetryWindow: 10 * time.Second, ColdOverage: 1.5, ColdSlack: 5,
		},
		Stop: settings.EdgeStop{Grace: 8 * time.Second}, Log: settings.Log{Level: "info", Format: "json"},
	}
	for _, change := range s.adjust {
		change(&e)
	}
	path := filepath.Join(s.t.TempDir(), "settings.yaml")
	data, err := yaml.Marshal(e)
	assert.NilError(s.t, err)
	assert.NilError(s.t, os.WriteFile(path, data, 0o600))
	return &EdgeNode{Process: newProcess(s.t, id, "edge", "--settings", path), Settings: e, Store: link, Callers: callers, Peers: peers}
}

// Configure writes a configuration in which the workspace has the given keys.
func (s *EdgeSite) Configure(keys ...string) { s.Put(EdgeConfiguration{Keys: keys, ColdRate: 30}) }

// Put writes a configuration.
func (s *EdgeSite) Put(c EdgeConfiguration) {
	s.version += 3
	route := func(name, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "hostname": edgeHost, "pathPrefix": "/" + name + "/", "type": kind, "timeoutMs": 15000,
			"sloMs": 2000, "gapSloMs": 180, "priority": 1, "service": service, "maxAttempts": 2,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	engine := map[string]any{
		"slots": 8, "kvCapacity": 30000, "kvBytes": 1000, "linkMbps": 1000, "moves": true, "backups": true, "stride": 4, "handleTtlS": 5,
	}
	if c.Keys == nil {
		c.Keys = []string{}
	}
	routes := []any{
		route("note", "streaming", "engines", nil),
		route("reply", "streaming", "engines", map[string]any{"resumable": true}),
		route("booking", "non_idempotent", "desk", nil),
		route("lookup", "idempotent", "desk", nil),
		route("public", "idempotent", "desk", map[string]any{"public": true}),
	}
	for _, name := range c.Added {
		routes = append(routes, route(name, "idempotent", "desk", nil))
	}
	s.put("op/config", map[string]any{
		"version": s.version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "engines", "healthPath": "/healthz", "maxConnections": 100, "coldPerS": c.ColdRate, "inferenceEngine": engine},
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConnections": 100},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": EdgeWorkspace, "apiKeys": c.Keys}},
	})
}

// AddWorker starts a worker and registers it.
func (s *EdgeSite) AddWorker(id string, engine bool) *workers.Worker {
	return s.AddWorkerWith(id, engine, func(*workers.Worker) {})
}

// AddWorkerWith starts a worker that is changed first, and registers it.
func (s *EdgeSite) AddWorkerWith(id string, engine bool, change func(*workers.Worker)) *workers.Worker {
	w := &workers.Worker{Fleet: s.Fleet, ID: id, Engine: engine, Events: 60, Interval: 20 * time.Millisecond}
	change(w)
	h := newHost(s.t, w, nil)
	link := newLink(s.t, "worker "+id, h.address)
	w.Address = link.Address()
	s.Links[id], s.hosts[id] = link, h
	s.SetWorker(w, "ready")
	return w
}

// SetWorker writes a worker's entry.
func (s *EdgeSite) SetWorker(w *workers.Worker, state string) {
	service := "desk"
	if w.Engine {
		service = "engines"
	}
	s.put("servers/"+w.ID, map[string]any{
		"service": service, "address": w.Address, "zone": cmp.Or(w.Zone, "zone-1"), "version": "v1", "slots": 8, "state": state,
		"coldLeftMs": w.ColdFor.Milliseconds(), "sequence": 1, "born": 1,
	})
}

// RemoveWorker removes a worker's entry.
func (s *EdgeSite) RemoveWorker(id string) { s.remove("servers/" + id) }

// Evacuate takes a data centre out, or brings it back.
func (s *EdgeSite) Evacuate(dataCentre string, out bool) {
	key := "op/evacuate/" + dataCentre
	if out {
		s.put(key, map[string]any{})
		return
	}
	s.remove(key)
}

func (s *EdgeSite) remove(key string) {
	_, err := s.KV.Commit(s.t.Context(), backing.Txn{Writes: []backing.Write{{Key: key, Delete: true}}})
	assert.NilError(s.t, err)
}

// KillWorker ends a worker as a crash does.
func (s *EdgeSite) KillWorker(id string) {
	s.Links[id].Cut()
	s.hosts[id].kill()
}

// PutRaw writes any bytes, as another writer may.
func (s *EdgeSite) PutRaw(key string, value []byte) {
	_, err := s.KV.Commit(s.t.Context(), backing.Txn{Writes: []backing.Write{{Key: key, Value: value}}})
	assert.NilError(s.t, err)
}

func (s *EdgeSite) put(key string, value any) {
	data, err := json.Marshal(value)
	assert.NilError(s.t, err)
	s.PutRaw(key, data)
}

// Request returns a request of a caller to a node; the path's first part names the route.
func (s *EdgeSite) Request(n *EdgeNode, method, path, id string) *http.Request {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("a prompt")
	}
	req, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+n.Settings.Listen.Callers+path, body)
	assert.NilError(s.t, err)
	req.Host = edgeHost
	req.Header.Set(headerRequestID, id)
	SetEdgeKey(req, EdgeKey)
	SetEdgeDeadline(req, edgeDeadline)
	if strings.HasPrefix(path, "/note") || strings.HasPrefix(path, "/reply") {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Usage", "1000,400")
	}
	return req
}

// Eventually waits for something that must happen.
func (s *EdgeSite) Eventually(what string, happened func() bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if happened() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	}, poll.WithTimeout(eventualTimeout), poll.WithDelay(10*time.Millisecond))
}

// ForgetHistory lets the store forget all changes until now.
func (s *EdgeSite) ForgetHistory() {
	all, err := s.KV.Range(s.t.Context(), "op/")
	assert.NilError(s.t, err)
	s.Store.Forget(all.Revision)
}
