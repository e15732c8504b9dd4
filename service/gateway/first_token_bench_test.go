package gateway

import (
	"bufio"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkFirstToken compares the time to the first token through the gateway with the time of a direct call to the same
// endpoint, one request at a time. The values are medians in microseconds. Placement is not included; see BenchmarkPlacement
// in decision/admission.
func BenchmarkFirstToken(b *testing.B) {
	e := newScriptedEndpoint(b)
	url := startRelayGateway(b, e.address)
	var direct, viaGateway []time.Duration
	for range b.N {
		direct = append(direct, firstToken(b, "http://"+e.address))
		viaGateway = append(viaGateway, firstToken(b, url))
	}
	b.ReportMetric(microseconds(direct), "us/direct")
	b.ReportMetric(microseconds(viaGateway), "us/through")
}

// microseconds returns the median of times in microseconds.
func microseconds(times []time.Duration) float64 {
	slices.Sort(times)
	return float64(times[len(times)/2].Microseconds())
}

// firstToken returns the time from the sending of a request to the arrival of its first part.
func firstToken(b *testing.B, url string) time.Duration {
	req, err := http.NewRequest(http.MethodPost, url+chatPath, strings.NewReader(streamBody))
	assert.NilError(b, err)
	req.Header.Set("Authorization", "Bearer key")
	started := time.Now()
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(b, err)
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	var elapsed time.Duration
	for lines.Scan() {
		if elapsed == 0 && strings.HasPrefix(lines.Text(), "data: ") {
			elapsed = time.Since(started)
		}
	}
	return elapsed
}
