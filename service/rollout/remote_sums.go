package rollout

// remoteSums holds the newest sums of the relays of the other data centres.
type remoteSums struct {
	byRelay map[string]Sum
}

func newRemoteSums() *remoteSums { return &remoteSums{byRelay: map[string]Sum{}} }

// apply replaces the sums of a relay, unless they are older ones of the same process.
func (r *remoteSums) apply(s Sum) {
	if known, ok := r.byRelay[s.Relay]; ok && known.Epoch == s.Epoch && known.Sequence >= s.Sequence {
		return
	}
	r.byRelay[s.Relay] = s
}

// of returns the counts of a roll-out by data centre. The sums of both relays of one count the same nodes, so the larger of each pair of
// counts is taken: a relay that has just started does not know the processes that ended before.
func (r *remoteSums) of(key rolloutKey) map[string]ServiceSum {
	found := map[string]ServiceSum{}
	for _, sum := range r.byRelay {
		for _, s := range sum.Services {
			if s.Service != key.service || s.Revision != key.revision {
				continue
			}
			known, ok := found[sum.DataCentre]
			if !ok {
				known = s
				known.Tally = s.Tally.Clone()
			}
			known.Tally.KeepLarger(s.Tally)
			known.AgeMillis, known.Confirmed = max(known.AgeMillis, s.AgeMillis), max(known.Confirmed, s.Confirmed)
			found[sum.DataCentre] = known
		}
	}
	return found
}
