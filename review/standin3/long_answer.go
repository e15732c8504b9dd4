package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// answerBytes is the size of a long answer, answerParts the number of its parts, partInterval the time between two of them.
	answerBytes  = 64 << 10
	answerParts  = 25
	partInterval = 200 * time.Millisecond
	// lookupsTime is the time for which lookups come. firstStop is the time until the first stop, stopGap that between two stops.
	lookupsTime    = 8 * time.Second
	lookupInterval = 250 * time.Millisecond
	firstStop      = 2 * time.Second
	stopGap        = 1300 * time.Millisecond
	// longDeadline is the time that the clients of long lookups wait.
	longDeadline = 12 * time.Second
	// excusedTime is the time after a stop until which a request whose worker works on is excused.
	excusedTime = 3 * time.Second
)

// lookup is a request that was sent to a node.
type lookup struct {
	node *node
	at   time.Time
}

// longAnswers answers each request with answerBytes, a part at a time.
type longAnswers struct{ *endpoint }

// ServeHTTP implements http.Handler.
func (e longAnswers) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	if expected := in.Header.Get("X-Expected-Instance"); in.URL.Path != "/consulta/2f" || expected != e.id {
		e.endpoint.ServeHTTP(w, in)
		return
	}
	id := in.Header.Get("X-Request-Id")
	e.record.writef("endpoint %s runs request %s", e.id, id)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Signature", "signed-by-"+e.id)
	w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
	part := []byte(strings.Repeat("x", answerBytes/answerParts+1))
	for left := answerBytes; left > 0; {
		n, err := w.Write(part[:min(len(part), left)])
		if err != nil {
			e.record.writef("endpoint %s can't write the answer to %s: %v", e.id, id, err)
			return
		}
		left -= n
		_ = http.NewResponseController(w).Flush()
		time.Sleep(partInterval)
	}
	e.record.writef("endpoint %s has written the answer to %s", e.id, id)
}

// playLongAnswer stops two of the three nodes of a data centre, to which the platform goes on sending connections, since less than half of
// them are left. The rule is broken if a node cuts the answer to a lookup that came later than excusedTime after its SIGTERM.
func playLongAnswer(s *site) (bool, error) {
	s.store.put("op/config", configuration{version: 7, timeoutMs: 15000, keys: []string{engineKey}}.encode())
	for i := range 2 {
		e := &endpoint{record: s.record, id: fmt.Sprintf("i-7f3a91c%d", i), zone: "kolkata", born: time.Now().UnixMilli()}
		server, address, err := s.serve("127.0.0.1:0", longAnswers{e})
		if err != nil {
			return false, err
		}
		s.servers = append(s.servers, server)
		e.address = address
		s.store.put("servers/"+e.id, e.entry("ready"))
	}
	for i := range 3 {
		if _, err := s.addNode(fmt.Sprintf("edge-kolkata-%d", i+1), "kolkata"); err != nil {
			return false, err
		}
	}
	for _, n := range s.nodes {
		if err := n.awaitReady(); err != nil {
			return false, err
		}
	}
	clients := newClient(s.record)
	asked, stopped := map[string]lookup{}, map[*node]time.Time{}
	begin := time.Now()
	for i := 0; time.Since(begin) < lookupsTime; i++ {
		id, n := clients.nextID(), s.nodes[i%len(s.nodes)]
		asked[id] = lookup{node: n, at: time.Now()}
		s.record.writef("client sends request %s to %s", id, n.name)
		clients.running.Go(func() { clients.ask(n, http.MethodGet, "/consulta/2f", id, engineKey, longDeadline, "", nil) })
		time.Sleep(lookupInterval)
		if next := len(stopped); s.trouble && next < 2 && time.Since(begin) >= firstStop+time.Duration(next)*stopGap {
			n := s.nodes[next]
			s.record.writef("%s gets SIGTERM", n.name)
			_ = n.cmd.Process.Signal(syscall.SIGTERM)
			stopped[n] = time.Now()
		}
	}
	clients.running.Wait()
	held, whole, refused := true, 0, 0
	received := clients.answers()
	for id, l := range asked {
		a, ok := received[id]
		at, isStopped := stopped[l.node]
		switch {
		case ok && a.err != nil && isStopped && l.at.Sub(at) > excusedTime:
			held = false
			s.record.writef("broken: the answer to %s, sent %v after SIGTERM, ends after %d of %d bytes", id, l.at.Sub(at).Round(time.Millisecond), len(a.body), answerBytes)
		case ok && a.err == nil && a.status == http.StatusOK:
			whole++
		default:
			refused++
		}
	}
	s.record.writef("lookups: %d, whole answers: %d, refused, not connected or cut with an excuse: %d", len(asked), whole, refused)
	if whole == 0 {
		return false, errors.New("no lookup was answered")
	}
	return held, nil
}
