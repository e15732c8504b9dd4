package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against counts of the fleet that are shown as those of one node or of the other version, and against an empty list in place
// of an error for a node without roll-outs.
func TestRolloutsAreShown(t *testing.T) {
	body := `[{"service":"s","target":"v2","phase":"observing","stopped":true,"decider":"n1","reason":"ordered","age_ms":1500,"duration_ms":12000,
"target_share":0.0789,"unconfirmed":3,"counts":[{"group":"old","route":"r","sends":1}],
"fleet":[{"group":"old","route":"a","sends":90,"failures":2},{"group":"old","route":"b","sends":10},{"group":"target","route":"a","sends":8,"failures":7}]}]`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/rollouts" {
			_, _ = w.Write([]byte(body))
		}
	}))
	defer server.Close()
	overviews, err := readRollouts(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	assert.DeepEqual(t, rolloutsTable(overviews).rows, [][]string{{
		"s", "v2", "observing (stopped)", "1.5s", "12s", "0.079", "100/2", "8/7", "3", "n1", "ordered",
	}})
	off := httptest.NewServer(http.NotFoundHandler())
	defer off.Close()
	_, err = readRollouts(t.Context(), strings.TrimPrefix(off.URL, "http://"))
	assert.ErrorContains(t, err, "404")
}
