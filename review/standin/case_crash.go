package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// crashAfter is the time between the begin of the poisonous run and the crash of its worker.
	crashAfter = 60 * time.Millisecond
	// poisonPause is the time after which the request comes again, and poisonTime the time for which it does.
	poisonPause = 2 * time.Second
	poisonTime  = 45 * time.Second
	poisonPath  = "/note/poison"
	// allowedRetries is the number of retries that may reach workers later than contactTime after the third crash.
	allowedRetries = 3
	crashesBefore  = 3
)

// playCrash plays a request that crashes each worker that runs it, and that comes again after each failure with the same path, caller
// and body. Other callers send sound requests meanwhile.
func playCrash(s *site) ([]string, error) {
	crashesUnder := func(path string) (time.Duration, bool) { return crashAfter, s.trouble && path == poisonPath }
	zones := []string{"zone-1", "zone-2", "zone-3"}
	for i := range 6 {
		if err := s.addWorker(fmt.Sprintf("engine-%d", i+1), zones[i%3], crashesUnder); err != nil {
			return nil, err
		}
	}
	if err := s.startNodes(zones...); err != nil {
		return nil, err
	}
	end := time.Now().Add(poisonTime)
	var sound sync.WaitGroup
	var mu sync.Mutex
	var lost []string
	servedCount := 0
	sound.Go(func() { s.sendPoison(end) })
	for i := 0; time.Now().Before(end); i++ {
		sound.Go(func() {
			a := s.send(s.nodes[i%3], fmt.Sprintf("sound-%d", i), fmt.Sprintf("/note/%d", i), 1000, 400, 800, 400)
			mu.Lock()
			defer mu.Unlock()
			if a.served() {
				servedCount++
			} else if a.status == 200 || a.status == 502 {
				lost = append(lost, a.id)
			}
		})
		time.Sleep(500 * time.Millisecond)
	}
	sound.Wait()
	s.log.add("sound requests: %d served, %d accepted and lost: %s", servedCount, len(lost), strings.Join(lost, " "))
	return s.lateRetries(), nil
}

// sendPoison sends the poisonous request again and again, at one node after the other.
func (s *site) sendPoison(end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		a := s.send(s.nodes[i%3], fmt.Sprintf("poison-%d", i), poisonPath, 1000, 400, 800, 400)
		time.Sleep(max(poisonPause, a.retryAfter))
	}
}

// lateRetries returns a breach if more retries of the poisonous request than allowed reached workers later than contactTime after it had
// crashed the third one.
func (s *site) lateRetries() []string {
	crashes := s.fleet.crashTimes()
	s.log.add("workers crashed %d times", len(crashes))
	if len(crashes) < crashesBefore {
		return nil
	}
	from := crashes[crashesBefore-1].Add(contactTime)
	late := s.fleet.arrivalsOf(func(a arrival) bool { return a.path == poisonPath && a.at.After(from) })
	s.log.add("third crash at %s; %d retries reached workers later than %v after it", s.log.since(crashes[crashesBefore-1]), len(late), contactTime)
	if len(late) <= allowedRetries {
		return nil
	}
	return []string{fmt.Sprintf("BUDGET: %d retries of %s reached workers later than %v after it had crashed the third", len(late), poisonPath, contactTime)}
}
