package main

import (
	"fmt"
	"time"
)

const (
	// revokeBound is the bound revokeMs of the site, and clockSlack what is added to it.
	revokeBound = 5 * time.Second
	clockSlack  = 200 * time.Millisecond
	// awayTime is the time for which the store is away.
	awayTime = time.Second
)

// playRestoredStore takes a key away soon after the store has come back from a copy that is some seconds old. The rule is broken if a
// request with the key runs that was sent later than revokeBound after the store acknowledged the configuration.
func playRestoredStore(s *site) (bool, error) {
	const kept, taken = "xd9dnn2ctnfzs989anu6", "wsjnbanfqasnmgkcuyj8"
	s.store.put("op/config", configuration{version: 7, timeoutMs: 2500, keys: []string{kept, taken}}.encode())
	for i := range 2 {
		if err := s.addEndpoint(&endpoint{id: fmt.Sprintf("i-7f3a91c%d", i), zone: fmt.Sprintf("andino-%c", 'a'+i)}); err != nil {
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
	traffic := func(d time.Duration) { clients.sendFor(d, 200*time.Millisecond, s.nodes, kept, taken) }
	traffic(3 * time.Second)

	saved := s.store.copy()
	traffic(time.Second)
	s.store.put("op/evacuate/andino-b", []byte("{}"))
	traffic(time.Second)
	s.store.delete("op/evacuate/andino-b")
	written := []configuration{
		{version: 9, timeoutMs: 2400, keys: []string{kept, taken}},
		{version: 12, timeoutMs: 2300, keys: []string{kept, taken}},
	}
	for _, c := range written {
		s.store.put("op/config", c.encode())
		traffic(time.Second)
	}
	if s.trouble {
		s.store.setAway(true)
		traffic(awayTime)
		s.store.restore(saved)
		s.store.setAway(false)
		// The data centre is back in service, so that only the configurations are written again.
		for _, c := range written {
			s.store.put("op/config", c.encode())
		}
	}
	traffic(5 * time.Second)

	s.store.put("op/config", configuration{version: 15, timeoutMs: 2300, keys: []string{kept}}.encode())
	acknowledged := time.Now()
	s.record.writef("operator: the key %s is taken away in version 15", taken)
	traffic(revokeBound + 5*time.Second)
	clients.running.Wait()

	held, lateRuns, keptRuns := true, 0, 0
	for _, e := range s.endpoints {
		for _, a := range e.ran() {
			r := clients.request(a.request)
			if r.key == kept && r.at.After(acknowledged) {
				keptRuns++
			}
			if r.key == taken && r.at.Sub(acknowledged) > revokeBound+clockSlack {
				held, lateRuns = false, lateRuns+1
				s.record.writef("broken: %s ran request %s with the key %s, sent %v after the acknowledgement", e.id, a.request, r.key,
					r.at.Sub(acknowledged).Round(time.Millisecond))
			}
		}
	}
	s.record.writef("runs with the key that was taken away, sent too late: %d; runs with the other key since the acknowledgement: %d", lateRuns, keptRuns)
	if keptRuns == 0 {
		return false, fmt.Errorf("no request with a valid key has run after the last configuration")
	}
	return held, nil
}
