package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// site is a small deployment: the store, endpoints of one plain service, and nodes in several zones.
type site struct {
	record    *record
	dir       string
	binary    string
	trouble   bool
	store     *store
	address   string
	endpoints []*endpoint
	nodes     []*node
	stop      chan struct{}
	servers   []*http.Server
	// kills end the other processes that the case has started.
	kills []func()
}

// newSite starts the store. trouble is set unless the case is to be played without its disruption.
func newSite(r *record, dir, binary string, trouble bool) (*site, error) {
	s := &site{record: r, dir: dir, binary: binary, trouble: trouble, store: newStore(r), stop: make(chan struct{})}
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	server, address, err := s.serve("127.0.0.1:0", s.store.handler())
	if err != nil {
		return nil, err
	}
	s.servers = append(s.servers, server)
	s.address = address
	go s.store.runLeases(s.stop)
	r.writef("trouble: %t", trouble)
	return s, nil
}

// serve serves a handler at an address of the loopback interface, which may leave the port open.
func (s *site) serve(at string, h http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}

// addEndpoint starts an endpoint and writes its entry.
func (s *site) addEndpoint(e *endpoint) error {
	e.record, e.born, e.address = s.record, time.Now().UnixMilli(), "127.0.0.1:0"
	s.endpoints = append(s.endpoints, e)
	if err := s.startEndpoint(e); err != nil {
		return err
	}
	s.store.put("servers/"+e.id, e.entry("ready"))
	return nil
}

// startEndpoint starts the server of an endpoint.
func (s *site) startEndpoint(e *endpoint) error {
	server, address, err := s.serve(e.address, e)
	if err != nil {
		return err
	}
	e.server, e.address = server, address
	return nil
}

// addNode starts a node.
func (s *site) addNode(name, zone string) (*node, error) {
	n, err := newNode(s.dir, name, zone, s.address)
	if err != nil {
		return nil, err
	}
	s.nodes = append(s.nodes, n)
	return n, n.start(s.binary)
}

// endAfter ends the case as one that could not run after some time, or when the process gets a signal to end.
func (s *site) endAfter(d time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(d):
		}
		s.record.writef("the case was ended before its time")
		for _, n := range s.nodes {
			n.kill()
		}
		for _, kill := range s.kills {
			kill()
		}
		_ = os.RemoveAll(s.dir)
		os.Exit(exitInvalid)
	}()
}

// close ends all processes and servers, and keeps the logs of the nodes if LOGS names a folder.
func (s *site) close() {
	for _, n := range s.nodes {
		n.kill()
		if dir := os.Getenv("LOGS"); dir != "" {
			if data, err := os.ReadFile(n.log); err == nil {
				_ = os.WriteFile(filepath.Join(dir, n.name+".log"), data, 0o600)
			}
		}
	}
	close(s.stop)
	for _, e := range s.endpoints {
		if e.server != nil {
			s.servers = append(s.servers, e.server)
		}
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

const (
	// firstPort and portCount bound the ports of nodes. They lie below those that the kernel gives outgoing connections, one of which could
	// take a port before its node listens.
	firstPort = 20_000
	portCount = 10_000
	// portTries is the number of ports that are tried for each one.
	portTries = 100
)

// freePorts returns free ports of the loopback interface, and reserves each until this process ends: another script that runs beside it
// chooses others, also before the node listens.
func freePorts(count int) ([]int, error) {
	var ports []int
	for tries := 0; len(ports) < count; tries++ {
		port := firstPort + rand.IntN(portCount)
		err := reservePort(port)
		switch {
		case err == nil:
			ports = append(ports, port)
		case tries >= portTries*count:
			return nil, err
		}
	}
	return ports, nil
}

// reservedPorts holds the listeners that reserve ports, so that they stay open.
var reservedPorts []net.Listener

// reservePort reserves a free port with a listener on a name of the port, which only the stand-ins know. It fails if the port is in use or
// reserved.
func reservePort(port int) error {
	reservation, err := net.Listen("unix", fmt.Sprintf("@azuredyke-review-port-%d", port))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", loopback(port))
	if err != nil {
		_ = reservation.Close()
		return err
	}
	reservedPorts = append(reservedPorts, reservation)
	return listener.Close()
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
