package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"azuredyke.dev/azuredyke/decision/config"
)

// operation is the stored value for the id of an accepted operation.
type operation struct {
	// Revision is the configuration revision at which the operation was accepted.
	Revision int64
	// Fingerprint identifies the content of the change.
	Fingerprint string
}

// fingerprint returns a hash of the content of a change. The expected revision, the reason and the actor are not part of the
// hash, since they may differ when the same operation is sent again.
func fingerprint(c config.Change) (string, error) {
	requested := struct {
		Ref      config.Ref
		Proposed *config.Object
		SetOut   *bool
	}{Ref: c.Ref, SetOut: c.SetOut}
	if c.Proposed != nil {
		copied := *c.Proposed
		copied.Revision = 0
		requested.Proposed = &copied
	}
	text, err := json.Marshal(requested)
	if err != nil {
		return "", Error.Wrap(err)
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:16]), nil
}
