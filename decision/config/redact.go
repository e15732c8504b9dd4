package config

import "regexp"

// hashPattern is what the hash of a key looks like.
var hashPattern = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)

// redacted stands for a value that may be a key.
const redacted = "(redacted)"

// Redacted returns the object without anything that may be a secret: what an operator gave as the hash of a key by
// mistake may be the key itself. nil gives nil.
func Redacted(o *Object) *Object {
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
