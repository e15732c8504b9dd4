package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// link is a TCP proxy on the way to one server, whose open connections can go silent for good.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	// silences holds the switches of the open connections.
	silences map[*atomic.Bool]bool
	conns    []net.Conn
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, silences: map[*atomic.Bool]bool{}}
	go l.run()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) run() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		silent := &atomic.Bool{}
		l.mu.Lock()
		l.silences[silent] = true
		l.conns = append(l.conns, conn, server)
		l.mu.Unlock()
		go l.pass(conn, server, silent)
		go l.pass(server, conn, silent)
	}
}

// pass copies bytes until one side closes. Once the connection is silent, it drops them, and the end of the connection too.
func (l *link) pass(from, to net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if silent.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			l.mu.Lock()
			delete(l.silences, silent)
			l.mu.Unlock()
			return
		}
	}
}

// silence makes the connections that are open now silent for good. New ones work.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := len(l.silences)
	for silent := range l.silences {
		silent.Store(true)
	}
	clear(l.silences)
	return count
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}
