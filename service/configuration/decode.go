package configuration

import (
	"encoding/json"

	"azuredyke.dev/azuredyke/decision/config"
)

// decodeHead decodes the value of headKey. An empty value stands for the empty configuration.
func decodeHead(value []byte) (head, error) {
	var h head
	if len(value) == 0 {
		return h, nil
	}
	if err := json.Unmarshal(value, &h); err != nil {
		return head{}, Error.New("value of %s: %w", headKey, err)
	}
	if h.Revision < 0 || h.AuditFloor < 0 {
		return head{}, Error.New("value of %s: negative revision", headKey)
	}
	return h, nil
}

// decodeObject decodes the object stored at key. The object must have the kind and name in the key, and the spec of its
// kind.
func decodeObject(key string, value []byte) (*config.Object, error) {
	o := &config.Object{}
	if err := json.Unmarshal(value, o); err != nil {
		return nil, Error.New("value of %s: %w", key, err)
	}
	if objectKey(o.Ref) != key {
		return nil, Error.New("value of %s: is the object %s", key, o.Ref)
	}
	if !o.Complete() {
		return nil, Error.New("value of %s: has no spec of its kind", key)
	}
	return o, nil
}

// decodeAuditRecord decodes the audit record stored at key.
func decodeAuditRecord(key string, value []byte) (AuditRecord, error) {
	var r AuditRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return AuditRecord{}, Error.New("value of %s: %w", key, err)
	}
	return r, nil
}
