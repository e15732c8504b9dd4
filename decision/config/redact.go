package config

import "regexp"

// hashPattern matches the hash of a key.
var hashPattern = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)

// redacted replaces a value that may be a key.
const redacted = "(redacted)"

// Redact returns the object without values that may be secret: an operator may have entered a key by mistake in place of
// its hash. It returns nil for nil.
func Redact(o *Object) *Object {
	if o == nil || o.Workspace == nil {
		return o
	}
	copied, workspace := *o, *o.Workspace
	workspace.KeyHashes = make([]string, 0, len(o.Workspace.KeyHashes))
	for _, hash := range o.Workspace.KeyHashes {
		if !hashPattern.MatchString(hash) {
			hash = redacted
		}
		workspace.KeyHashes = append(workspace.KeyHashes, hash)
	}
	copied.Workspace = &workspace
	return &copied
}
