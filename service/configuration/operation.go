package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"azuredyke.dev/azuredyke/decision/config"
)

// operation is the value of the key of an operation id.
type operation struct {
	// Revision is the configuration revision at which the operation was accepted.
	Revision int64
	// Fingerprint identifies what was asked for.
	Fingerprint string
}

// fingerprint identifies what a change asks for. The expected revision, the reason and the operator are left out, since
// they may differ when the same operation is sent again.
func fingerprint(c config.Change) (string, error) {
	asked := struct {
		Ref      config.Ref
		Proposed *config.Object
		SetOut   *bool
	}{Ref: c.Ref, SetOut: c.SetOut}
	if c.Proposed != nil {
		copied := *c.Proposed
		copied.Revision = 0
		asked.Proposed = &copied
	}
	text, err := json.Marshal(asked)
	if err != nil {
		return "", Error.Wrap(err)
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:16]), nil
}
