package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// firstDrainAt is the time at which the first engine leaves, pauseAt the time at which another one turns new requests away, and
	// secondDrainAt the time at which a third one leaves.
	firstDrainAt  = 8 * time.Second
	pauseAt       = 8500 * time.Millisecond
	secondDrainAt = 9500 * time.Millisecond
	// pauseSeconds is the Retry-After time.
	pauseSeconds = 5
	// pauseSlack is the time after a 503 from which the requests are counted, maxInPause the number that is allowed.
	pauseSlack = 500 * time.Millisecond
	maxInPause = 2
	// standbyStreamsTime is the time for which streams are requested, standbyInterval the time between two of them, and standbyTokens the
	// number of tokens of an answer.
	standbyStreamsTime = 16 * time.Second
	standbyInterval    = 38 * time.Millisecond
	standbyTokens      = 300
	standbyPrompt      = 100
)

// playPausedStandby drains an engine, so that runs of others get a new copy elsewhere. One that holds such copies turns new requests away
// with Retry-After, then an engine of these runs leaves. The rule is broken if more than two requests of a node reach an engine in its
// pause.
func playPausedStandby(s *site) (bool, error) {
	s.store.put("op/config", engineConfiguration())
	f := &engineFleet{record: s.record, capacity: engineCapacity, interval: 120 * time.Millisecond, copies: map[string]memoryCopy{}}
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
	nodeOf := map[string]*node{}
	begin := time.Now()
	phase := 0
	var paused, source *copyingEngine
	for i := 0; time.Since(begin) < standbyStreamsTime; i++ {
		id, n := clients.nextID(), s.nodes[i%len(s.nodes)]
		nodeOf[id] = n
		clients.running.Go(func() {
			clients.ask(n, http.MethodPost, "/catalogo/2f", id, engineKey, engineDeadline, fmt.Sprint(standbyTokens), map[string]string{
				"X-Model": "m", "X-Token-Usage": fmt.Sprintf("%d,%d", standbyPrompt, standbyTokens), "X-Length-Hint": fmt.Sprint(standbyTokens),
				"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:79,%s:%d", id[8:], standbyPrompt-79),
			})
		})
		time.Sleep(standbyInterval)
		switch now := time.Since(begin); {
		case phase == 0 && now >= firstDrainAt:
			phase++
			s.drain(f, f.engines[:1])
		case phase == 1 && now >= pauseAt:
			phase++
			source, paused = f.mostStandbyCopies(nodeOf)
			f.setRetryAfter(paused, fmt.Sprint(pauseSeconds))
		case phase == 2 && now >= secondDrainAt:
			phase++
			if s.trouble {
				s.drain(f, []*copyingEngine{source})
			}
		}
	}
	clients.running.Wait()
	return f.keepsPauses(nodeOf), nil
}

// mostStandbyCopies returns the engine of which another one holds the most copies of runs of one node, and the other one.
func (f *engineFleet) mostStandbyCopies(nodeOf map[string]*node) (source, holder *copyingEngine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	type pair struct {
		source, holder *copyingEngine
		node           *node
	}
	counts := map[pair]int{}
	most := 0
	for _, r := range f.runs {
		c := f.copies[r.engine.address+"/moved-"+r.request]
		i := slices.IndexFunc(f.engines, func(e *copyingEngine) bool { return e.address == c.holder })
		if r.tokens == 0 || i < 0 || r.engine.state != "ready" {
			continue
		}
		p := pair{source: r.engine, holder: f.engines[i], node: nodeOf[r.request]}
		counts[p]++
		if counts[p] > most {
			most, source, holder = counts[p], p.source, p.holder
		}
	}
	if source == nil {
		source, holder = f.engines[1], f.engines[2]
	}
	f.record.writef("engine %s holds %d copies of runs of one node at engine %s", holder.id, most, source.id)
	return source, holder
}

// setRetryAfter makes an engine turn new requests away.
func (f *engineFleet) setRetryAfter(e *copyingEngine, seconds string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.retryAfter = seconds
}

// keepsPauses reports whether the nodes kept the pauses that the engines have asked for.
func (f *engineFleet) keepsPauses(nodeOf map[string]*node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for _, e := range f.engines {
		for _, refused := range e.visits {
			if !refused.turnedAway {
				continue
			}
			count := 0
			from, to := refused.at.Add(pauseSlack), refused.at.Add(pauseSeconds*time.Second)
			for _, v := range e.visits {
				if nodeOf[v.request] == nodeOf[refused.request] && v.at.After(from) && v.at.Before(to) {
					count++
				}
			}
			most = max(most, count)
			f.record.writef("engine %s got %d requests of %s in the pause after %s", e.id, count, nodeOf[refused.request].name, refused.request)
		}
	}
	f.record.writef("most requests in a pause: %d, allowed: %d", most, maxInPause)
	return most <= maxInPause
}
