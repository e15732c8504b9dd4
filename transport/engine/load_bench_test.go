package engine

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
)

// BenchmarkLoad measures the time to read one load report over an open connection. The time includes the server, which runs
// in the same process.
func BenchmarkLoad(b *testing.B) {
	const report = `{"incarnation":"a","age_ms":200,"running":20,"waiting":1,"completed_total":1000,"blocks_used":600,` +
		`"blocks_total":700,"block_tokens":16,"step_ms":17.5,"models":["notes"]}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(report))
	}))
	defer server.Close()
	c := NewClient(time.Second, nil)
	defer c.Close()
	e := message.Endpoint{ID: "e", Address: strings.TrimPrefix(server.URL, "http://")}
	for b.Loop() {
		_, err := c.ReadLoad(b.Context(), e)
		assert.NilError(b, err)
	}
}
