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
	// recoveryBound is the time after the last fault within which every node must serve again.
	recoveryBound = 12 * time.Second
	// recoveryPause is the time between two attempts.
	recoveryPause = 100 * time.Millisecond
)

// recovery holds the observations after the last fault.
type recovery struct {
	attempts []attempt
	// unrecovered describes the nodes that did not serve a plain request or a stream.
	unrecovered []string
}

// awaitRecovery sends requests to every node until the node has served a plain request and a stream, or recoveryBound is over.
func awaitRecovery(seed uint64, s *harness.EdgeSite, state *atomic.Pointer[operatorState]) recovery {
	var r recovery
	deadline := time.Now().Add(recoveryBound)
	for n := range s.Nodes {
		for _, route := range []string{routeLookup, routeNote} {
			c := &caller{
				name: fmt.Sprintf("s%d-r%d-%s", seed, n, route), site: s, random: rand.New(rand.NewPCG(seed, 2)), state: state, node: n,
				transports: make([]*http.Transport, len(s.Nodes)), probe: true,
			}
			c.transports[n] = &http.Transport{DisableCompression: true}
			served := false
			for !served && time.Now().Before(deadline) {
				c.sendRequest(route)
				last := c.attempts[len(c.attempts)-1]
				served = last.complete() && last.status == http.StatusOK
				if !served {
					time.Sleep(recoveryPause)
				}
			}
			c.transports[n].CloseIdleConnections()
			r.attempts = append(r.attempts, c.attempts...)
			if !served {
				r.unrecovered = append(r.unrecovered, fmt.Sprintf("node %d served no %s within %v", n, route, recoveryBound))
			}
		}
	}
	return r
}
