package edge

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/test/harness"
)

// send sends a request and reads the complete response.
func send(t *testing.T, req *http.Request) (*http.Response, string, error) {
	t.Helper()
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// readEvents reads a stream and calls onEvent for each event with the number of events so far. It returns the event ids, and the
// error that interrupted the stream if there was one.
func readEvents(t *testing.T, req *http.Request, onEvent func(count int)) ([]string, error) {
	t.Helper()
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	reader := bufio.NewReader(resp.Body)
	var ids []string
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF {
			return ids, nil
		}
		if err != nil {
			return ids, err
		}
		var id string
		if n, _ := fmt.Sscanf(line, "id: %s", &id); n == 1 {
			ids = append(ids, id)
			onEvent(len(ids))
		}
	}
}

// assertComplete checks that every event arrived exactly once and in order.
func assertComplete(t *testing.T, ids []string, events int) {
	t.Helper()
	assert.Equal(t, len(ids), events)
	for i, id := range ids {
		assert.Equal(t, id, fmt.Sprint(i+1))
	}
}

// startPlainSite starts a site with one node and one plain worker.
func startPlainSite(t *testing.T) (*harness.EdgeSite, *harness.EdgeNode) {
	t.Helper()
	s := harness.NewEdgeSite(t, 1)
	s.AddWorker("desk-1", false)
	s.Start()
	return s, s.Nodes[0]
}
