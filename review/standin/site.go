package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/backing/memory"
	"azuredyke.dev/azuredyke/fake/metastore"
)

// Names and bounds of the small deployment that the cases play.
const (
	hostName      = "bench.example"
	tenantName    = "tenant-1"
	apiKey        = "key-of-tenant-1"
	engineService = "note-writers"
	deskService   = "booking-desk"
	engineSlots   = 24
	heartbeat     = 1200 * time.Millisecond
	// contactTime is contactMs: a node is in touch once it has run undisturbed for that long.
	contactTime = 3 * time.Second
	// readyTimeout bounds the start of the nodes.
	readyTimeout = 15 * time.Second
)

// site is the platform's store, the workers and the nodes of one case.
type site struct {
	log     *record
	trouble bool
	folder  string

	ctx    context.Context
	cancel context.CancelFunc
	kv     *memory.KV
	store  net.Listener
	fleet  *fleet
	nodes  []*node
	tasks  sync.WaitGroup
}

// newSite starts the store. The project's own stand-in of the store answers reads, watches, transactions and leases.
func newSite(log *record, trouble bool) (*site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{log: log, trouble: trouble, folder: folder, kv: memory.NewKV(), fleet: newFleet()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.tasks.Go(func() { s.kv.Run(s.ctx) })
	if s.store, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	server := &http.Server{Handler: metastore.New(s.kv).Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(s.store) }()
	log.add("disruption: %t", trouble)
	return s, s.putConfiguration(7, tenant())
}

// close ends all processes that the site has started.
func (s *site) close() {
	for _, n := range s.nodes {
		n.kill()
	}
	s.fleet.stopAll()
	_ = s.store.Close()
	s.cancel()
	s.tasks.Wait()
	_ = os.RemoveAll(s.folder)
}

// put writes a value to the store, as the operator and the workers do.
func (s *site) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = s.kv.Commit(s.ctx, backing.Txn{Writes: []backing.Write{{Key: key, Value: data}}})
	return err
}

// remove removes a key from the store.
func (s *site) remove(key string) {
	_, _ = s.kv.Commit(s.ctx, backing.Txn{Writes: []backing.Write{{Key: key, Delete: true}}})
}

// tenant returns the entry of the only tenant of the deployment.
func tenant() map[string]any {
	return map[string]any{"name": tenantName, "apiKeys": []string{apiKey}, "priority": 1}
}

// putConfiguration writes a configuration with the given tenants. It returns when the store has acknowledged it.
func (s *site) putConfiguration(version int, tenants ...map[string]any) error {
	if tenants == nil {
		tenants = []map[string]any{}
	}
	return s.put("op/config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-note", "hostname": hostName, "pathPrefix": "/note/", "type": "streaming", "timeoutMs": 39000, "sloMs": 1800,
			"priority": 1, "service": engineService, "maxAttempts": 1, "public": false, "sticky": true, "resumable": false, "gapSloMs": 180,
		}, map[string]any{
			"name": "r-booking", "hostname": hostName, "pathPrefix": "/booking/", "type": "non_idempotent", "timeoutMs": 3000, "sloMs": 300,
			"priority": 2, "service": deskService, "maxAttempts": 1, "public": false,
		}},
		"services": []any{map[string]any{
			"name": engineService, "healthPath": "/healthz", "maxConnections": 272, "protocol": "h1", "tls": false, "coldStartS": 1.0, "coldPerS": 37.0,
			"inferenceEngine": map[string]any{
				"slots": engineSlots, "kvCapacity": 34388, "kvBytes": 327680, "linkMbps": 47000.0, "moves": true, "backups": true, "stride": 4,
				"most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0, "models": []any{map[string]any{"name": "m"}},
			},
		}, map[string]any{
			"name": deskService, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
}
