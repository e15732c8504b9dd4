package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a caller reattaching to the generation of another workspace.
func TestPositionBelongsToItsWorkspaceOnly(t *testing.T) {
	p := newStreamPosition("abc-1", "w1", "127.0.0.1:1", "n1")
	parsed, err := parseStreamPosition(p.prefix() + ":7")
	assert.NilError(t, err)
	assert.Equal(t, parsed.partNumber, 7)
	assert.Equal(t, parsed.endpointTag, nameTag("127.0.0.1:1"))
	assert.Assert(t, parsed.belongsTo("w1"))
	assert.Assert(t, !parsed.belongsTo("w2"))
}

// Guards against a forged event id that crashes the gateway or makes it request another path of an endpoint.
func FuzzParseStreamPosition(f *testing.F) {
	f.Add("abc-1.0123456789abcdef.a1.b2:7")
	f.Add("../../x.0.0.0:1")
	f.Add(":")
	f.Fuzz(func(t *testing.T, id string) {
		p, err := parseStreamPosition(id)
		if err == nil && (p.partNumber < 0 || len(p.generation) == 0 || p.generation[0] == '.') {
			t.Fatalf("accepted %q", id)
		}
	})
}
