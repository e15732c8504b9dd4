package file

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
)

// Guards against accepting a configuration change or a claim, which would be lost when the process ends.
func TestSingleNodeKVKeepsOnlyOwnership(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.yaml")
	assert.NilError(t, os.WriteFile(path, []byte("revision: 1\nobjects: []\n"), 0o600))
	kv := NewSingleNodeKV(path)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go kv.Run(ctx)
	lease, err := kv.GrantLease(ctx, time.Minute)
	assert.NilError(t, err)
	own, err := kv.Commit(ctx, backing.Txn{Writes: []backing.Write{{Key: "own/claims/00", Lease: lease}}})
	assert.NilError(t, err)
	assert.Assert(t, own.Committed)
	for _, key := range []string{"config/head", "claims/00/1"} {
		_, err := kv.Commit(ctx, backing.Txn{Writes: []backing.Write{{Key: key}}})
		assert.Assert(t, backing.ErrUnavailable.Has(err), key)
	}
	head, err := kv.Get(ctx, "config/head")
	assert.NilError(t, err)
	assert.Assert(t, head.ModRevision != 0)
}
