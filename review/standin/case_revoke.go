package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// revokeBound is revokeMs: a request that is sent later than that after its key was taken away must not run.
	revokeBound = 5 * time.Second
	// revokeAfter is the time after which the key is taken away, and revokeWatch the time for which requests are sent after that.
	revokeAfter = 3 * time.Second
	revokeWatch = 15 * time.Second
	callPause   = 250 * time.Millisecond
	// unknownKey is a key that no configuration has held.
	unknownKey = "key-of-nobody"
)

// playRevoke plays the departure of the only tenant: a new configuration has an empty list of tenants. A caller that is connected goes on
// with the tenant's key, and another one tries a key that never existed.
func playRevoke(s *site) ([]string, error) {
	for i := range 2 {
		if err := s.addWorker(fmt.Sprintf("engine-%d", i+1), "zone-1", func(string) (time.Duration, bool) { return 0, false }); err != nil {
			return nil, err
		}
	}
	if err := s.startNodes("zone-1", "zone-1"); err != nil {
		return nil, err
	}
	var attempts []*attempt
	var mu sync.Mutex
	var callers sync.WaitGroup
	end := time.Now().Add(revokeAfter + revokeBound + revokeWatch)
	for name, key := range map[string]string{"tenant": apiKey, "stranger": unknownKey} {
		callers.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				a := s.sendWithKey(s.nodes[i%2], key, fmt.Sprintf("%s-%d", name, i), fmt.Sprintf("/note/%s-%d", name, i), 1000, 40, 800, 40)
				mu.Lock()
				attempts = append(attempts, a)
				mu.Unlock()
				time.Sleep(callPause)
			}
		})
	}
	time.Sleep(revokeAfter)
	var revokedAt time.Time
	if s.trouble {
		if err := s.putConfiguration(9); err != nil {
			return nil, err
		}
		revokedAt = time.Now()
		s.log.add("the store has acknowledged version 9, which has no tenant")
	}
	callers.Wait()
	return s.wrongRuns(attempts, revokedAt), nil
}

// wrongRuns returns the breaches: requests that ran although their key was taken away, or although no configuration ever held it.
func (s *site) wrongRuns(attempts []*attempt, revokedAt time.Time) []string {
	var breaches []string
	served, refused := 0, 0
	for _, a := range attempts {
		if len(s.fleet.arrivalsOf(func(r arrival) bool { return r.id == a.id && !r.refused })) == 0 {
			refused++
			continue
		}
		served++
		switch {
		case a.key == unknownKey:
			breaches = append(breaches, fmt.Sprintf("ROUTE: %s ran, and no configuration ever held its key", a.id))
		case !revokedAt.IsZero() && a.sent.Sub(revokedAt) > revokeBound:
			breaches = append(breaches, fmt.Sprintf("CONFIG: %s was sent %v after its key was taken away and ran", a.id, a.sent.Sub(revokedAt).Round(time.Millisecond)))
		}
	}
	s.log.add("%d requests ran, %d did not", served, refused)
	return breaches
}
