package hostlist

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against accepting a damaged list, in which hosts are missing that have not left.
func TestParseRefusesDamagedList(t *testing.T) {
	good := `[{"targets":["127.0.0.1:1"],"labels":{"job":"endpoint","service":"notes","datacentre":"howrah","state":"leaving"}}]`
	hosts, err := parse([]byte(good))
	assert.NilError(t, err)
	assert.Equal(t, len(hosts), 1)
	assert.Assert(t, hosts[0].Leaving)
	for _, bad := range []string{
		good[:len(good)-5],
		`[{"targets":["notes-1:80"],"labels":{"service":"notes","datacentre":"howrah"}}]`,
		`[{"targets":["127.0.0.1:1"],"labels":{"service":"notes"}}]`,
	} {
		_, err := parse([]byte(bad))
		assert.Assert(t, Error.Has(err), bad)
	}
}
