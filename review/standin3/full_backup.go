package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// engineCount is the number of engines, of which one fails a share of its requests.
	engineCount  = 7
	failingShare = 0.45
	// failFrom is the time at which it begins to, failFor how long it does.
	failFrom = 11500 * time.Millisecond
	failFor  = 6500 * time.Millisecond
	// drainAt and drainNextAt are the times at which engines begin to leave, drained and drainedNext the numbers of these.
	drainAt     = failFrom + 100*time.Millisecond
	drained     = 2
	drainNextAt = failFrom + 200*time.Millisecond
	drainedNext = 1
	// engineCapacity is the memory of an engine in tokens.
	engineCapacity = 34_489
	// promptTokens and maxOutput are the sizes of a request. Half of the outputs have the length of the client's estimate, lengthHint,
	// the others maxOutput.
	promptTokens, maxOutput, lengthHint = 300, 3000, 300
	// streamsTime is the time for which streams are requested, streamInterval the time between two of them.
	streamsTime    = 18 * time.Second
	streamInterval = 42 * time.Millisecond
)

// playFullBackup drains engines whose runs have a backup without room, while one engine fails a share of its requests. The rule is broken
// if a request begins to run a second time, not from a copy.
func playFullBackup(s *site) (bool, error) {
	s.store.put("op/config", engineConfiguration())
	f := &engineFleet{record: s.record, capacity: engineCapacity, interval: 10 * time.Millisecond, copies: map[string]memoryCopy{}}
	if err := s.addCopyingEngines(f, engineCount); err != nil {
		return false, err
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
	begin := time.Now()
	phase := 0
	var failing *copyingEngine
	var sources []*copyingEngine
	for i := 0; time.Since(begin) < streamsTime; i++ {
		id := clients.nextID()
		n := s.nodes[i%len(s.nodes)]
		output := lengthHint
		if i%2 == 0 {
			output = maxOutput
		}
		s.record.writef("client sends request %s to %s", id, n.name)
		clients.running.Go(func() {
			clients.ask(n, http.MethodPost, "/catalogo/2f", id, engineKey, engineDeadline, fmt.Sprint(output), map[string]string{
				"X-Model": "m", "X-Token-Usage": fmt.Sprintf("%d,%d", promptTokens, maxOutput), "X-Length-Hint": fmt.Sprint(lengthHint),
				"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:79,%s:%d", id[8:], promptTokens-79),
			})
		})
		time.Sleep(streamInterval)
		switch now := time.Since(begin); {
		case phase == 0 && now >= failFrom:
			phase++
			failing, sources = f.withoutCopy()
			if s.trouble {
				f.setFailures(failing, failingShare)
			}
		case phase == 1 && now >= drainAt:
			phase++
			s.drain(f, sources[:drained])
		case phase == 2 && now >= drainNextAt:
			phase++
			s.drain(f, sources[drained:drained+drainedNext])
		case phase == 3 && now >= failFrom+failFor:
			phase++
			f.setFailures(failing, 0)
		}
	}
	clients.running.Wait()
	held, count := true, map[string]int{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runs {
		if r.isNew {
			count[r.request]++
		}
	}
	twice := 0
	for id, n := range count {
		if n > 1 {
			held, twice = false, twice+1
			s.record.writef("broken: request %s began to run %d times, not from a copy", id, n)
		}
	}
	s.record.writef("requests: %d, begun twice: %d; copies without room: %d", len(count), twice, f.refusedCopies)
	return held, nil
}

// addCopyingEngines starts engines and writes their entries.
func (s *site) addCopyingEngines(f *engineFleet, count int) error {
	for i := range count {
		e := &copyingEngine{fleet: f, id: fmt.Sprintf("i-7f3a91c%d", i), zone: fmt.Sprintf("andino-%c", 'a'+i%2), state: "ready", born: time.Now().UnixMilli()}
		server, address, err := s.serve("127.0.0.1:0", e)
		if err != nil {
			return err
		}
		s.servers = append(s.servers, server)
		e.address = address
		f.engines = append(f.engines, e)
		s.store.put("servers/"+e.id, e.entry())
	}
	return nil
}

// drain makes some engines leave.
func (s *site) drain(f *engineFleet, engines []*copyingEngine) {
	for _, e := range engines {
		f.drain(e)
		s.store.put("servers/"+e.id, e.entry())
	}
}
