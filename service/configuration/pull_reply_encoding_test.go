package configuration

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/config"
)

// Guards against a pull reply that loses fields in the CBOR encoding of the peer links.
func TestPullReplySurvivesEncoding(t *testing.T) {
	objects := []*config.Object{
		{Ref: west, Revision: 3, DataCentre: &config.DataCentre{Region: "r", Out: true}},
		{Ref: config.Ref{Kind: config.KindService, Name: "s"}, Revision: 4, Service: &config.Service{
			Type: config.ServiceTypePlain, ColdLimit: 1, QueueTimeout: time.Second,
			PathRules: []config.PathRule{{Method: "POST", PathPrefix: "/book"}},
		}},
		{Ref: config.Ref{Kind: config.KindWorkspace, Name: "w"}, Workspace: &config.Workspace{Weight: 1.5, KeyHashes: []string{"ab"}}},
	}
	for _, reply := range []PullReply{
		{Revision: 4, Whole: true, Objects: objects},
		{Revision: 4, Delta: &config.Delta{From: 2, To: 4, Changed: objects, Deleted: []config.Ref{{Kind: config.KindModel, Name: "m"}}}},
		{Revision: 4},
	} {
		encoded, err := cbor.Marshal(reply)
		assert.NilError(t, err)
		var decoded PullReply
		assert.NilError(t, cbor.Unmarshal(encoded, &decoded))
		assert.DeepEqual(t, decoded, reply)
	}
}

// Guards against pull replies that are too large: that of a whole configuration with 1,500 workspaces, the number on the
// design page, and the reply to a node that is up to date, which is sent every half second.
func TestPullReplySizes(t *testing.T) {
	const (
		// maxWhole is the largest value that the key-value service stores; maxNothing keeps idle pulls far below 3 KB/s.
		maxWhole   = 1 << 20
		maxNothing = 100
	)
	hash := fmt.Sprintf("%064x", 1)
	var objects []*config.Object
	for i := range 1500 {
		objects = append(objects, &config.Object{
			Ref: config.Ref{Kind: config.KindWorkspace, Name: fmt.Sprintf("workspace-%d", i)}, Revision: int64(i),
			Workspace: &config.Workspace{KeyHashes: []string{hash, hash}, RequestsPerSecond: 100, Weight: 1},
		})
	}
	whole, err := cbor.Marshal(PullReply{Revision: 1 << 20, Whole: true, Objects: objects})
	assert.NilError(t, err)
	nothing, err := cbor.Marshal(PullReply{Revision: 1 << 20})
	assert.NilError(t, err)
	t.Logf("whole %d bytes, nothing newer %d bytes", len(whole), len(nothing))
	assert.Assert(t, len(whole) <= maxWhole)
	assert.Assert(t, len(nothing) <= maxNothing)
}
