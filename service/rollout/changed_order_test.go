package rollout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a wrong state after operators change their order.
func TestOrdersThatChange(t *testing.T) {
	for name, play := range map[string]func(s *testSite){
		"removed while open": func(s *testSite) {
			s.order("v2", 12)
			s.await("in_progress", "v2", time.Second)
			s.remove("op/rollout/s")
			s.await("reverted", "v2", time.Second)
		},
		"replaced while open": func(s *testSite) {
			s.order("v2", 12)
			s.await("in_progress", "v2", time.Second)
			s.put("servers/newer", `{"service":"s","address":"127.0.0.1:3","zone":"a","slots":8,"state":"ready","coldLeftMs":0,"version":"v3"}`)
			s.order("v3", 12)
			s.await("in_progress", "v3", time.Second)
			s.await("completed", "v3", 11*time.Second)
		},
		"repeated while open": func(s *testSite) {
			s.nodes[0].oldRuns.Store(1)
			s.order("v2", 12)
			time.Sleep(8 * time.Second)
			s.order("v2", 12)
			time.Sleep(10 * time.Second)
			assert.Equal(s.t, s.status(), `{"state":"in_progress","target":"v2"}`)
			s.await("completed", "v2", 2*time.Second)
		},
		"repeated after completed": func(s *testSite) {
			s.order("v2", 12)
			s.await("completed", "v2", 12*time.Second)
			s.targetFails.Store(true)
			s.order("v2", 12)
			time.Sleep(20 * time.Second)
			assert.Equal(s.t, s.status(), `{"state":"completed","target":"v2"}`)
		},
		"repeated after reverted": func(s *testSite) {
			s.targetFails.Store(true)
			s.order("v2", 12)
			s.await("reverted", "v2", 12*time.Second)
			s.targetFails.Store(false)
			s.order("v2", 12)
			s.await("in_progress", "v2", 5*time.Second)
			s.await("completed", "v2", 12*time.Second)
		},
		"unreadable": func(s *testSite) {
			s.order("v2", 12)
			s.await("in_progress", "v2", time.Second)
			s.put("op/rollout/s", `{"service":"s","target":"v3","durationS":-1}`)
			s.await("completed", "v2", 11*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runSite(t, func(_ context.Context, s *testSite) {
					s.t = t
					play(s)
					time.Sleep(10 * time.Second)
				})
			})
		})
	}
}
