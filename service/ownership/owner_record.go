package ownership

import (
	"encoding/json"
	"strings"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/message"
)

// ownersPrefix is the key prefix of the owner records.
const ownersPrefix = "own/"

// ownerRecord is a stored owner record with its lease and the revision of its last write.
type ownerRecord struct {
	message.Holding
	lease    backing.LeaseID
	revision int64
}

// OwnerKey returns the key of the owner record of a resource.
func OwnerKey(resource string) string { return ownersPrefix + resource }

func fenceKey(resource string) string { return "fence/" + resource }

// decodeOwnerRecord decodes an owner record. A record with an invalid value still counts as an owner, so that the resource
// is not acquired.
func decodeOwnerRecord(e backing.Entry) ownerRecord {
	o := ownerRecord{lease: e.Lease, revision: e.ModRevision}
	_ = json.Unmarshal(e.Value, &o.Holding)
	o.Resource = strings.TrimPrefix(e.Key, ownersPrefix)
	return o
}
