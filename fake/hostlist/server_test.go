package hostlist

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing/hostlist"
)

func read(s *Server) (int, string) {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	return w.Code, w.Body.String()
}

// Guards against a list that is served before the lag has passed, and against failures that serve the complete list.
func TestListLagsAndFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewServer(time.Second)
		s.Publish([]hostlist.TargetGroup{{Targets: []string{"127.0.0.1:1"}}})
		time.Sleep(999 * time.Millisecond)
		_, body := read(s)
		assert.Equal(t, body, "[]")
		time.Sleep(time.Millisecond)
		_, whole := read(s)
		assert.Equal(t, whole, `[{"targets":["127.0.0.1:1"],"labels":null}]`)
		s.SetFailure(FailTruncated)
		_, body = read(s)
		assert.Equal(t, body, whole[:len(whole)/2])
		s.SetFailure(FailEmpty)
		_, body = read(s)
		assert.Equal(t, body, "[]")
		s.SetFailure(FailStatus)
		status, _ := read(s)
		assert.Equal(t, status, http.StatusServiceUnavailable)
	})
}
