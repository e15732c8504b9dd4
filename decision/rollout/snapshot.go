package rollout

import "time"

// snapshot holds the counts at one moment. The period that it ends began at the snapshot before it.
type snapshot struct {
	at    time.Duration
	phase Phase
	tally Tally
}

// entry returns the counts of a group on a route, empty ones if there are none.
func (s *snapshot) entry(g Group, route string) *TallyEntry {
	if i, found := s.tally.find(g, route); found {
		return &s.tally.Entries[i]
	}
	return &TallyEntry{}
}

// hasTargetResponse reports whether the target has responded to a request.
func (s *snapshot) hasTargetResponse() bool {
	for i := range s.tally.Entries {
		if e := &s.tally.Entries[i]; e.Group == TargetGroup && e.responded() > 0 {
			return true
		}
	}
	return false
}
