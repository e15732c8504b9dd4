package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"text/template"
	"time"
)

// Names and bounds of the site, which follow the sheet of gdv-central.
const (
	host   = "ficu95.example"
	apiKey = "xd9dnn2ctnfzs989anu6"
	// engines, desk and notes are the services.
	engines = "asistente"
	desk    = "mostrador"
	notes   = "notas"
	// heartbeat is the interval at which workers write their entries.
	heartbeat = 1200 * time.Millisecond
	// readyTimeout bounds the time until the nodes are ready.
	readyTimeout = 20 * time.Second
)

// site is a small deployment: nodes as processes, and stand-ins of the rest.
type site struct {
	record  *record
	trouble bool
	store   *store
	fleet   *fleet
	folder  string
	nodes   []*node
	// ports holds the ports of the nodes.
	ports map[int]bool
	// mu guards workers.
	mu      sync.Mutex
	workers []*worker

	// storeLink is the way of the nodes to the store.
	storeLink   *link
	storeServer *http.Server
	ids         int
}

func newSite(_ context.Context, r *record, trouble bool) (*site, error) {
	folder, err := os.MkdirTemp("", "azuredyke-review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	toStore, err := newLink(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	s := &site{record: r, trouble: trouble, store: newStore(), fleet: newFleet(r), folder: folder, storeLink: toStore, ports: map[int]bool{}}
	s.storeServer = &http.Server{Handler: s.store.handler()}
	go func() { _ = s.storeServer.Serve(listener) }()
	return s, nil
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	for _, n := range s.nodes {
		n.kill()
	}
	s.storeLink.close()
	_ = s.storeServer.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		w.exit()
	}
	_ = os.RemoveAll(s.folder)
}

// addWorker starts a worker and writes its entry.
func (s *site) addWorker(w *worker) error {
	w.fleet = s.fleet
	if err := w.start(); err != nil {
		return err
	}
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	s.store.put("servers/"+w.id, w.entry("ready"))
	s.record.log("worker %s of %s serves %s", w.id, w.service, w.address)
	return nil
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "hostname": host, "pathPrefix": prefix, "type": kind, "timeoutMs": 1200, "sloMs": 150, "priority": 2, "service": service,
		"maxAttempts": 1, "public": false, "sticky": false, "resumable": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// plainService returns a service of the configuration that has no engines.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0}
}

// configure writes a configuration with the given routes.
func (s *site) configure(version int, routes ...map[string]any) {
	s.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{
				"name": engines, "healthPath": "/healthz", "maxConnections": 372, "protocol": "h1", "tls": false, "coldStartS": 1.0, "coldPerS": 37.0,
				"inferenceEngine": map[string]any{
					"slots": 48, "kvCapacity": 34489, "kvBytes": kvBytes, "linkMbps": linkMbps, "moves": true, "backups": true, "stride": 4, "most": 12,
					"pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0, "models": []map[string]any{{"name": "m"}},
				},
			},
			plainService(desk), plainService(notes),
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "huka270", "apiKeys": []string{apiKey}, "priority": 1}},
	})
}

// settingsTemplate is deploy/edge.yaml.tmpl as the platform fills it in for this site.
var settingsTemplate = template.Must(template.New("settings").Parse(`node:
  id: "{{.ID}}"
  data_centre: "{{.Zone}}"
  region: "andino"
listen:
  callers: "{{.Callers}}"
  readiness: "{{.Readiness}}"
  metrics: "{{.Metrics}}"
  peers: "{{.Peers}}"
store:
  address: "{{.Store}}"
peers:
  trusted_network: true
limits:
  memory_mb: 134
  cpu_share: 0.4
  core_speed: 1
bounds:
  revoke: 5000ms
  retry_ratio: 0.2
  retry_allowance: 56
  retry_window: 10s
  cold_overage: 1.5
  cold_slack: 5
contracts: ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"]
stop:
  grace: 8s
log:
  level: info
  format: json
`))

// freePort returns a port that is free and below those that the kernel gives to outgoing connections, so that it stays free until the
// node listens.
func (s *site) freePort() (int, error) {
	const first, count, tries = 12000, 18000, 200
	for range tries {
		port := first + rand.IntN(count)
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil || s.ports[port] {
			if err == nil {
				_ = listener.Close()
			}
			continue
		}
		_ = listener.Close()
		s.ports[port] = true
		return port, nil
	}
	return 0, errors.New("no free port")
}

// addNode writes the settings of a node and starts it.
func (s *site) addNode(id, zone string) error {
	n := &node{id: id, record: s.record}
	for _, address := range []*string{&n.callers, &n.readiness, &n.metrics, &n.peers} {
		port, err := s.freePort()
		if err != nil {
			return err
		}
		*address = net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	}
	n.settings, n.logPath = filepath.Join(s.folder, id+".yaml"), filepath.Join(s.folder, id+".log")
	var text strings.Builder
	err := settingsTemplate.Execute(&text, map[string]string{
		"ID": id, "Zone": zone, "Callers": n.callers, "Readiness": n.readiness, "Metrics": n.metrics, "Peers": n.peers, "Store": s.storeLink.address(),
	})
	if err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	return os.WriteFile(n.settings, []byte(text.String()), 0o600)
}

// startNodes starts all nodes and waits until they are ready and know all workers.
func (s *site) startNodes(ctx context.Context) error {
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, n := range s.nodes {
		for !n.ready() {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("node %s is not ready: %s", n.id, n.logTail())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	// The nodes learn of each other.
	time.Sleep(2 * time.Second)
	s.record.log("nodes are ready")
	return nil
}
