package file

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/config"
)

const validFile = `
revision: 3
objects:
  - kind: data_centre
    name: howrah
    data_centre: {region: bengal}
  - kind: service
    name: notes
    service: {type: model, cold_limit: 2, cells: 1, queue_timeout: 5s}
`

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
}

// Guards against fields of the file that are missing in the returned objects.
func TestRangeReturnsObjects(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.yaml")
	writeFile(t, path, validFile)
	kv := New(path)
	e, err := kv.Get(t.Context(), "config/objects/service/notes")
	assert.NilError(t, err)
	var o config.Object
	assert.NilError(t, json.Unmarshal(e.Value, &o))
	assert.Equal(t, o.Service.ColdLimit, 2)
	assert.Equal(t, o.Service.QueueTimeout, 5*time.Second)
	assert.Equal(t, o.Revision, int64(3))
	result, err := kv.Range(t.Context(), "config/")
	assert.NilError(t, err)
	assert.Equal(t, len(result.Entries), 3)
	assert.Equal(t, string(result.Entries[0].Value), `{"Revision":3}`)
}

// Guards against ignoring a misspelt field, and against a write or a lease that is reported as successful.
func TestInvalidFilesAndWritesAreRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.yaml")
	for _, bad := range []string{
		strings.Replace(validFile, "cold_limit", "cold_limits", 1), strings.Replace(validFile, "revision: 3", "", 1), "{",
	} {
		writeFile(t, path, bad)
		_, err := New(path).Range(t.Context(), "")
		assert.Assert(t, backing.ErrUnavailable.Has(err), "%v", err)
	}
	_, err := New(path).Commit(t.Context(), backing.Txn{})
	assert.Assert(t, backing.ErrUnavailable.Has(err))
	_, err = New(path).GrantLease(t.Context(), time.Second)
	assert.Assert(t, backing.ErrUnavailable.Has(err))
}

// Guards against a changed file that is not reported, and against a watch that does not end with its context.
func TestWatchReportsNewRevision(t *testing.T) {
	defer goleak.VerifyNone(t)
	path := filepath.Join(t.TempDir(), "site.yaml")
	writeFile(t, path, validFile)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		batches, err := New(path).Watch(ctx, "config/head", 4)
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(batches), 0)
		writeFile(t, path, strings.Replace(validFile, "revision: 3", "revision: 4", 1))
		batch := <-batches
		assert.Equal(t, batch.Revision, int64(4))
		cancel()
		_, open := <-batches
		assert.Assert(t, !open)
	})
}
