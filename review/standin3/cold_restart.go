package main

import (
	"fmt"
	"time"
)

const (
	// outage is the time for which the store is down, crashAfter the time from its begin to the crash of an endpoint.
	outage     = 8 * time.Second
	crashAfter = time.Second
	// downTime is the time after which the endpoint starts again, coldTime the time for which it is cold then.
	downTime = 250 * time.Millisecond
	coldTime = time.Second
	// coldPerS, coldOverage and coldSlack are the figures of the rule.
	coldPerS    = 37
	coldOverage = 1.5
	coldSlack   = 5
	// heartbeat is the interval at which an endpoint writes its entry.
	heartbeat = 1200 * time.Millisecond
)

// playColdRestart restarts an endpoint under its id while the store is down. The rule is broken if it gets more requests in the second of
// its cold start than a cold endpoint tolerates.
func playColdRestart(s *site) (bool, error) {
	const key = "xd9dnn2ctnfzs989anu6"
	s.store.put("op/config", configuration{version: 7, timeoutMs: 2500, keys: []string{key}, coldStartS: coldTime.Seconds(), coldPerS: coldPerS}.encode())
	for i := range 2 {
		e := &endpoint{id: fmt.Sprintf("i-7f3a91c%d", i), zone: fmt.Sprintf("andino-%c", 'a'+i), workTime: 5 * time.Millisecond}
		if err := s.addEndpoint(e); err != nil {
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
	clients := newClient(s.record)
	traffic := func(d time.Duration) { clients.sendFor(d, 8*time.Millisecond, s.nodes, key) }
	traffic(5 * time.Second)
	e := s.endpoints[0]
	if s.trouble {
		s.store.setAway(true)
	}
	traffic(crashAfter)
	s.record.writef("endpoint %s ends", e.id)
	_ = e.server.Close()
	traffic(downTime)
	started, err := s.startAgain(e)
	if err != nil {
		return false, err
	}
	traffic(outage - crashAfter - downTime)
	if s.trouble {
		s.store.setAway(false)
	}
	traffic(2 * time.Second)
	clients.running.Wait()
	count := 0
	for _, a := range e.ran() {
		if !a.at.Before(started) && a.at.Before(started.Add(coldTime)) && clients.request(a.request).at.After(started) {
			count++
		}
	}
	allowed := coldPerS*coldOverage + float64(coldSlack)
	s.record.writef("endpoint %s got %d requests in the second; a cold endpoint tolerates %.1f", e.id, count, allowed)
	return float64(count) <= allowed, nil
}

// startAgain starts an endpoint again under its id. It is cold then, and writes its entry as soon as the store takes it.
func (s *site) startAgain(e *endpoint) (time.Time, error) {
	started := time.Now()
	e.mu.Lock()
	e.born, e.coldUntil = started.UnixMilli(), started.Add(coldTime)
	e.mu.Unlock()
	if err := s.startEndpoint(e); err != nil {
		return started, err
	}
	s.record.writef("endpoint %s has started again under its id and is cold for %v", e.id, coldTime)
	go func() {
		for !s.store.put("servers/"+e.id, e.entry("ready")) {
			time.Sleep(heartbeat)
		}
	}()
	return started, nil
}
