package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// lateBy is how much later the transaction without an answer is executed.
	lateBy = 5 * time.Second
	// memberKeys is the prefix of the nodes' own entries.
	memberKeys = "azuredyke/nodes/"
	// listedTime is the time after which the entry of a node ends if its lease is not renewed, with some reserve.
	listedTime = 65 * time.Second
	// statedLimit is the limit that each endpoint names, in requests a second.
	statedLimit = 10
	// limitWindow is the window of the rule, limitFactor and limitSlack its allowance, and contact the time after which it holds.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	contact     = 3 * time.Second
	// heardTime is the time after which an answer with a limit binds a node.
	heardTime = 500 * time.Millisecond
)

// playLateRegistration executes a node's first registration late, without an answer. A minute later the endpoints name a limit. The rule
// is broken if one of them gets more requests than its limit allows.
func playLateRegistration(s *site) (bool, error) {
	const key = "xd9dnn2ctnfzs989anu6"
	late := "edge-andino-a-1"
	s.store.put("op/config", configuration{version: 7, timeoutMs: 2500, keys: []string{key}}.encode())
	if s.trouble {
		lost := false
		s.store.lateBy = lateBy
		s.store.isLate = func(t transaction) bool {
			isFirst := !lost && len(t.Writes) == 1 && t.Writes[0].Key == memberKeys+late
			lost = lost || isFirst
			return isFirst
		}
	}
	for i := range 6 {
		if err := s.addEndpoint(&endpoint{id: fmt.Sprintf("i-7f3a91c%d", i), zone: fmt.Sprintf("andino-%c", 'a'+i%2), limit: fmt.Sprint(statedLimit)}); err != nil {
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
	time.Sleep(listedTime)
	s.recordMembers()
	begin := time.Now()
	clients := newClient(s.record)
	clients.sendFor(contact+3*limitWindow, 12*time.Millisecond, s.nodes, key)
	clients.running.Wait()
	held := true
	for _, e := range s.endpoints {
		held = s.checkLimit(e, begin) && held
	}
	return held, nil
}

// recordMembers writes the entries of the nodes to the record.
func (s *site) recordMembers() {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	var keys []string
	for _, i := range s.store.list(memberKeys, "") {
		keys = append(keys, fmt.Sprintf("%s (lease %d)", i.Key, i.LeaseID))
	}
	s.record.writef("store: nodes listed: %s", strings.Join(keys, ", "))
}

// checkLimit reports whether an endpoint that has named its limit in all answers has got no more requests than that allows.
func (s *site) checkLimit(e *endpoint, begin time.Time) bool {
	allowed := limitFactor*statedLimit*limitWindow.Seconds() + limitSlack
	var times []time.Time
	ran := e.ran()
	if len(ran) == 0 {
		return true
	}
	first := ran[0].at
	for _, a := range ran {
		if a.at.Sub(first) >= contact+heardTime {
			times = append(times, a.at)
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
	most, from := 0, 0
	var at time.Time
	for i := range times {
		for times[i].Sub(times[from]) > limitWindow {
			from++
		}
		if i-from+1 > most {
			most, at = i-from+1, times[from]
		}
	}
	s.record.writef("endpoint %s: %d requests in all; at most %d in %v, from %.1f s after the begin of the traffic; allowed are %.0f",
		e.id, len(ran), most, limitWindow, at.Sub(begin).Seconds(), allowed)
	return float64(most) <= allowed
}
