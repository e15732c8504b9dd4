package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"
)

const (
	// killAfter is the time after the first request at which an engine is killed, noteInterval the time between two requests.
	killAfter    = 5 * time.Second
	noteInterval = 100 * time.Millisecond
	notesTime    = 10 * time.Second
)

// playKilledEngine kills an engine while it writes answers that end with their connection. The rule is broken if a client gets an answer
// that is complete for it, but lacks events.
func playKilledEngine(s *site) (bool, error) {
	s.store.put("op/config", engineConfiguration())
	var processes []*exec.Cmd
	defer func() {
		for _, p := range processes {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	}()
	ports, err := freePorts(2)
	if err != nil {
		return false, err
	}
	for i, port := range ports {
		e := &engine{id: fmt.Sprintf("i-7f3a91c%d", i), zone: fmt.Sprintf("andino-%c", 'a'+i), address: loopback(port), born: time.Now().UnixMilli()}
		p := exec.Command(os.Args[0], engineMode, e.id, e.address)
		p.Stderr = os.Stderr
		if err := p.Start(); err != nil {
			return false, err
		}
		processes = append(processes, p)
		s.kills = append(s.kills, func() { _ = p.Process.Kill() })
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
	begin, killed := time.Now(), false
	for i := 0; time.Since(begin) < notesTime; i++ {
		id := clients.nextID()
		n := s.nodes[i%len(s.nodes)]
		s.record.writef("client sends request %s to %s", id, n.name)
		clients.running.Go(func() {
			clients.ask(n, http.MethodPost, "/catalogo/2f", id, engineKey, engineDeadline, "body of "+id, map[string]string{
				"X-Model": "m", "X-Token-Usage": fmt.Sprintf("100,%d", 4*unframedEvents), "X-Prompt-Prefix": "5c1e07a2:60," + id[8:] + ":40",
			})
		})
		time.Sleep(noteInterval)
		if s.trouble && !killed && time.Since(begin) >= killAfter {
			killed = true
			s.record.writef("the process of engine i-7f3a91c0 is killed")
			_ = processes[0].Process.Kill()
		}
	}
	clients.running.Wait()
	complete, short := 0, 0
	for id, a := range clients.answers() {
		if a.status != http.StatusOK || a.err != nil {
			continue
		}
		events := strings.Count(a.body, "\n\n")
		complete++
		if events < unframedEvents {
			short++
			s.record.writef("broken: the answer to %s looks complete and has %d of %d events", id, events, unframedEvents)
		}
	}
	s.record.writef("answers that look complete: %d, of which lack events: %d", complete, short)
	if complete == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return short == 0, nil
}
