package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// manyParts and fewParts are numbers of parts of a prompt before its last one. The last of these is the one that crashes engines.
	manyParts  = 18
	fewParts   = 2
	deadlyPart = "dead0bad"
	// engines is the number of engines.
	engines = 9
	// backAfter is the time after which an engine is back after a crash.
	backAfter = 2 * time.Second
	// soundInterval and deadlyInterval are the times between two requests.
	soundInterval  = 50 * time.Millisecond
	deadlyInterval = time.Second
	// playTime is the time for which requests with the deadly part come.
	playTime = 40 * time.Second
	// crashesToLearn is the number of crashes after which the rules hold, and maxDeadly the number of requests that the first one
	// allows from contact after the last of these crashes.
	crashesToLearn = 5
	maxDeadly      = 3
	engineDeadline = 39 * time.Second
)

// deadlyCase plays requests of which some have a part that crashes engines.
type deadlyCase struct {
	*site
	// parts is the number of parts of a prompt before its last one, position that of the deadly part among them, from 1.
	parts, position int
	// eventsBefore is the number of events that an engine writes before it crashes.
	eventsBefore int
	clients      *client
	engines      []*engine
	servers      sync.Map

	mu      sync.Mutex
	crashes []time.Time
	// sound and deadly hold the times at which requests were sent, by id.
	sound, deadly map[string]time.Time
}

// playDeadlyPart plays a deadly part of a prompt with many parts. The engine crashes before its first event. POSITION sets the position of
// the deadly part.
func playDeadlyPart(s *site) (bool, error) {
	c := &deadlyCase{site: s, parts: manyParts, position: manyParts}
	if text := os.Getenv("POSITION"); text != "" {
		var err error
		if c.position, err = strconv.Atoi(text); err != nil || c.position < 1 || c.position > c.parts {
			return false, errors.New("POSITION is no position of a shared part")
		}
	}
	return c.run()
}

// playLateDeadlyPart plays a deadly part of a prompt with few parts. The engine crashes after its first event. EVENTS sets the number of
// events before the crash.
func playLateDeadlyPart(s *site) (bool, error) {
	c := &deadlyCase{site: s, parts: fewParts, position: fewParts, eventsBefore: 1}
	if text := os.Getenv("EVENTS"); text != "" {
		var err error
		if c.eventsBefore, err = strconv.Atoi(text); err != nil || c.eventsBefore < 0 || c.eventsBefore >= eventCount {
			return false, errors.New("EVENTS is no number of events before the last one")
		}
	}
	return c.run()
}

// run sends requests with the deadly part among sound ones that share all other parts, and reports whether the rules held: no more than
// maxDeadly of them reach engines later than contact after the fifth crash, and sound requests go on to be served.
func (c *deadlyCase) run() (bool, error) {
	s := c.site
	c.clients, c.sound, c.deadly = newClient(s.record), map[string]time.Time{}, map[string]time.Time{}
	s.record.writef("the deadly part is number %d of %d; the engine crashes after %d events", c.position, c.parts+1, c.eventsBefore)
	s.store.put("op/config", engineConfiguration())
	for i := range engines {
		if err := c.addEngine(fmt.Sprintf("i-7f3a91c%d", i), fmt.Sprintf("andino-%c", 'a'+i%2)); err != nil {
			return false, err
		}
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
	c.play()
	c.clients.running.Wait()
	return c.check(), nil
}

// addEngine starts an engine, which comes back after each crash, and writes its entry.
func (c *deadlyCase) addEngine(id, zone string) error {
	e := &engine{record: c.record, id: id, zone: zone, address: "127.0.0.1:0", deadlyPart: deadlyPart, eventsBefore: c.eventsBefore, born: time.Now().UnixMilli()}
	e.crash = func() {
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		c.mu.Unlock()
		if server, ok := c.servers.LoadAndDelete(id); ok {
			_ = server.(*http.Server).Close()
			time.AfterFunc(backAfter, func() { _ = c.startEngine(e) })
		}
	}
	if err := c.startEngine(e); err != nil {
		return err
	}
	c.engines = append(c.engines, e)
	return nil
}

// startEngine starts the process of an engine.
func (c *deadlyCase) startEngine(e *engine) error {
	server, address, err := c.serve(e.address, e)
	if err != nil {
		c.record.writef("engine %s does not start: %v", e.id, err)
		return err
	}
	e.address, e.born = address, time.Now().UnixMilli()
	c.servers.Store(e.id, server)
	c.store.put("servers/"+e.id, e.entry())
	return nil
}

// play sends the requests: first only sound ones, then both kinds.
func (c *deadlyCase) play() {
	const warmUp = 5 * time.Second
	tick := time.NewTicker(soundInterval)
	defer tick.Stop()
	begin := time.Now()
	lastDeadly := begin.Add(warmUp)
	for i := 0; time.Since(begin) < warmUp+playTime; i++ {
		c.send(c.nodes[i%len(c.nodes)], false)
		if now := time.Now(); c.trouble && now.Sub(lastDeadly) >= deadlyInterval {
			lastDeadly = now
			c.send(c.nodes[i/2%len(c.nodes)], true)
		}
		<-tick.C
	}
}

// send sends one request.
func (c *deadlyCase) send(n *node, deadly bool) {
	id := c.clients.nextID()
	var parts []string
	for i := range c.parts {
		part := fmt.Sprintf("5c1e07%02x:20", i)
		if deadly && i+1 == c.position {
			part = deadlyPart + ":20"
		}
		parts = append(parts, part)
	}
	parts = append(parts, id[8:]+":40")
	at := time.Now()
	c.mu.Lock()
	if deadly {
		c.deadly[id] = at
	} else {
		c.sound[id] = at
	}
	c.mu.Unlock()
	c.record.writef("client sends request %s to %s, with the deadly part: %t", id, n.name, deadly)
	c.clients.running.Go(func() {
		c.clients.ask(n, http.MethodPost, "/catalogo/2f", id, engineKey, engineDeadline, "body of "+id, map[string]string{
			"X-Model": "m", "X-Token-Usage": fmt.Sprintf("%d,%d", c.parts*20+40, eventCount*4), "X-Prompt-Prefix": strings.Join(parts, ","),
		})
	})
}

// check reports whether the rules about the deadly part held.
func (c *deadlyCase) check() bool {
	runs := map[string][]engineRun{}
	for _, e := range c.engines {
		for _, r := range e.ran() {
			runs[r.request] = append(runs[r.request], r)
		}
	}
	slices.SortFunc(c.crashes, func(a, b time.Time) int { return a.Compare(b) })
	c.record.writef("crashes of engines: %d", len(c.crashes))
	if len(c.crashes) == 0 {
		return true
	}
	learnt := c.crashes[min(crashesToLearn, len(c.crashes))-1]
	late := 0
	for id := range c.deadly {
		for _, r := range runs[id] {
			if r.at.Sub(learnt) > contact {
				late++
			}
		}
	}
	before, beforeBegun := c.countBegun(runs, func(at time.Time) bool { return at.Before(c.crashes[0]) })
	after, afterBegun := c.countBegun(runs, func(at time.Time) bool { return at.Sub(learnt) > 2*contact })
	c.record.writef("requests with the deadly part that reached engines later than %v after crash %d: %d; allowed are %d", contact,
		min(crashesToLearn, len(c.crashes)), late, maxDeadly)
	c.record.writef("sound requests that begun at the first attempt: %d of %d before the first crash, %d of %d from %v after that crash on",
		beforeBegun, before, afterBegun, after, 2*contact)
	cut := 0
	for id, a := range c.clients.answers() {
		if _, ok := c.sound[id]; ok && a.err != nil {
			cut++
		}
	}
	c.record.writef("sound answers that broke off: %d of %d", cut, len(c.sound))
	lost := before >= 20 && after >= 20 && 2*afterBegun*before < beforeBegun*after
	c.record.writef("BUDGET broken: %t; LOST broken: %t", late > maxDeadly, lost)
	return late <= maxDeadly && !lost
}

// countBegun returns the number of sound requests that were sent at a time that matches, and how many of them begun.
func (c *deadlyCase) countBegun(runs map[string][]engineRun, matches func(time.Time) bool) (requests, begun int) {
	for id, at := range c.sound {
		if !matches(at) {
			continue
		}
		requests++
		if r := runs[id]; len(r) > 0 && r[0].begun {
			begun++
		}
	}
	return requests, begun
}
