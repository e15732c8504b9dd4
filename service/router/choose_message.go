package router

import (
	"time"

	"azuredyke.dev/azuredyke/decision/routing"
)

// chooseMessage selects one of the candidates by load. The reply is an index into candidates. The reply channel needs a
// buffer of one.
type chooseMessage struct {
	candidates []routing.Candidate
	prefix     uint64
	reply      chan<- int
}

func (m chooseMessage) apply(r *Router) {
	now := time.Now()
	i := r.loads.Pick(now, m.candidates, m.prefix)
	r.loads.RecordRequest(now, m.candidates[i].Cell)
	m.reply <- i
}
