package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	bookings      = 200
	bookingPause  = 50 * time.Millisecond
	bookingPeriod = 3 * time.Second
	// leaveShare is the share of the callers that leave, each within half of the objective of the route.
	leaveShare  = 0.2
	leaveWithin = 150 * time.Millisecond
)

// booking is one request that changes something, and what its caller read until the node closed the connection.
type booking struct {
	id     string
	status int
	signed bool
	body   string
	err    error
}

// playLeave plays callers that leave before their deadline. They close the connection in an orderly way: they end their side of it, and read
// what is still under way until the node has closed the other side.
func playLeave(s *site) ([]string, error) {
	for i := range 3 {
		if err := s.addWorkerOf(deskService, fmt.Sprintf("desk-%d", i+1), "zone-1", func(string) (time.Duration, bool) { return 0, false }); err != nil {
			return nil, err
		}
	}
	if err := s.startNodes("zone-1", "zone-1"); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(27, 27))
	var breaches []string
	var mu sync.Mutex
	var callers sync.WaitGroup
	good, left := 0, 0
	for i := range bookings {
		leaves := random.Float64() < leaveShare
		after := time.Duration(random.Int64N(int64(leaveWithin)))
		callers.Go(func() {
			b := s.book(s.nodes[i%2], fmt.Sprintf("visit-booking-%d", i), leaves && s.trouble, after)
			mu.Lock()
			defer mu.Unlock()
			switch success := b.status >= 200 && b.status < 300; {
			case success && (!b.signed || b.body != "booked "+b.id):
				breaches = append(breaches, fmt.Sprintf("MIXED: %s got the status %d with the body %q; signed by a worker: %t", b.id, b.status, b.body, b.signed))
			case success:
				good++
			default:
				left++
			}
		})
		time.Sleep(bookingPause)
	}
	callers.Wait()
	s.log.add("%d bookings got the answer of a worker, %d no success, %d a success that is no worker's", good, left, len(breaches))
	return breaches, nil
}

// book sends a booking on a new connection. A caller that leaves ends its side of the connection after some time.
func (s *site) book(n *node, id string, leaves bool, after time.Duration) booking {
	b := booking{id: id}
	var conn net.Conn
	if conn, b.err = net.DialTimeout("tcp", n.callers, time.Second); b.err != nil {
		return b
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(bookingPeriod))
	body := "a visit"
	s.log.add("%s is sent to %s", id, n.name)
	_, b.err = fmt.Fprintf(conn, "POST /booking/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		id, hostName, id, bookingPeriod.Milliseconds(), apiKey, len(body), body)
	if b.err != nil {
		return b
	}
	if leaves {
		timer := time.AfterFunc(after, func() {
			s.log.add("the caller of %s leaves", id)
			_ = conn.(*net.TCPConn).CloseWrite()
		})
		defer timer.Stop()
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		b.err = err
		s.log.add("%s got no answer: %v", id, err)
		return b
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	b.status, b.signed, b.body, b.err = answer.StatusCode, answer.Header.Get("X-Server-Signature") != "", string(data), err
	s.log.add("answer of %s: %s", id, strings.TrimSpace(fmt.Sprintf("status %d, signed %t, body %q, headers %v", b.status, b.signed, b.body, answer.Header)))
	return b
}
