package ownership

import (
	"encoding/json"
	"strings"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/message"
)

// ownersPrefix is the prefix of the owner records.
const ownersPrefix = "own/"

// owner is an owner record as it is stored.
type owner struct {
	message.Holding
	lease    backing.LeaseID
	revision int64
}

// OwnerKey returns the key of the owner record of a resource.
func OwnerKey(resource string) string { return ownersPrefix + resource }

func fenceKey(resource string) string { return "fence/" + resource }

// ownerOf decodes an owner record. A damaged record still counts as an owner, so that the resource is not acquired.
func ownerOf(e backing.Entry) owner {
	o := owner{lease: e.Lease, revision: e.ModRevision}
	_ = json.Unmarshal(e.Value, &o.Holding)
	o.Resource = strings.TrimPrefix(e.Key, ownersPrefix)
	return o
}
