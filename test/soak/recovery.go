package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"azuredyke.dev/azuredyke/test/harness"
)

const (
	// recoveryBound is the time after the last fault within which every node serves again.
	recoveryBound = 12 * time.Second
	// recoveryPause is the time between two tries.
	recoveryPause = 100 * time.Millisecond
)

// recovery is what became of the nodes after the last fault.
type recovery struct {
	attempts []attempt
	// silent lists the nodes that served no plain request or no stream.
	silent []string
}

// awaitRecovery sends requests to every node until it has served a plain one and a stream.
func awaitRecovery(seed uint64, s *harness.EdgeSite, known *atomic.Pointer[operations]) recovery {
	var r recovery
	deadline := time.Now().Add(recoveryBound)
	for n := range s.Nodes {
		for _, route := range []string{routeLookup, routeNote} {
			c := &caller{
				name: fmt.Sprintf("s%d-r%d-%s", seed, n, route), site: s, random: rand.New(rand.NewPCG(seed, 2)), known: known, node: n,
				transports: make([]*http.Transport, len(s.Nodes)), stays: true,
			}
			c.transports[n] = &http.Transport{DisableCompression: true}
			served := false
			for !served && time.Now().Before(deadline) {
				c.attempt(route)
				last := c.attempts[len(c.attempts)-1]
				served = last.whole() && last.status == http.StatusOK
				if !served {
					time.Sleep(recoveryPause)
				}
			}
			c.transports[n].CloseIdleConnections()
			r.attempts = append(r.attempts, c.attempts...)
			if !served {
				r.silent = append(r.silent, fmt.Sprintf("node %d served no %s within %v", n, route, recoveryBound))
			}
		}
	}
	return r
}
