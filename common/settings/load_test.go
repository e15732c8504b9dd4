package settings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

const validFile = `
node:
  data_centre: kolkata
platform:
  key_value:
    addresses: ["127.0.0.1:2379"]
  host_list:
    url: http://127.0.0.1:9090/hosts
`

// Guards against losing defaults when a file sets only some keys.
func TestParseKeepsDefaults(t *testing.T) {
	s, err := Parse([]byte(validFile))
	assert.NilError(t, err)
	assert.Equal(t, s.Dispatch.StartWithin, time.Second)
	assert.Equal(t, s.Node.ID, s.Listen.Peers)
}

// Guards against errors that do not name the line and the key.
func TestParseNamesLineAndKey(t *testing.T) {
	for name, tc := range map[string]struct{ text, want string }{
		"unknown key":  {validFile + "dispatch:\n  polcy: round_robin\n", "line 10: dispatch.polcy"},
		"wrong type":   {validFile + "limits:\n  body_bytes: many\n", "line 10: limits.body_bytes"},
		"out of range": {validFile + "dispatch:\n  policy: fastest\n", "line 10: dispatch.policy: \"fastest\" is not one of"},
		"missing":      {"listen:\n  callers: 127.0.0.1:1\n", "node.data_centre: is required"},
		"not yaml":     {"node: [", "line 1"},
		"no IP":        {validFile + "listen:\n  callers: localhost:80\n", "line 10: listen.callers"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(tc.text))
			assert.Assert(t, cmp.ErrorContains(err, tc.want))
		})
	}
}

// Guards against a panic or a hang on arbitrary input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Parse(data) })
}
