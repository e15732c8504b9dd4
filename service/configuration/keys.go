package configuration

import (
	"fmt"

	"azuredyke.dev/azuredyke/decision/config"
)

// Keys of the configuration in the key-value service.
const (
	configPrefix     = "config/"
	headKey          = "config/head"
	objectsPrefix    = "config/objects/"
	operationsPrefix = "config/operations/"
	auditPrefix      = "config/audit/"
	refusalCountKey  = "config/refused-head"
	refusedPrefix    = "config/refused/"
)

const (
	// auditPageSize is the number of records in one page. The keys of a page share all digits except the last two.
	auditPageSize = 100
	// refusedSlots is the maximum number of records of refused changes. These records are stored separately from those of
	// accepted changes, so that a script that is refused repeatedly cannot displace accepted changes from the audit trail.
	refusedSlots = 1000
)

func objectKey(ref config.Ref) string {
	return objectsPrefix + string(ref.Kind) + "/" + ref.Name
}

func operationKey(id string) string { return operationsPrefix + id }

// auditKey returns the key of the record of an accepted change. The key has leading zeros, so records sort by revision.
func auditKey(revision int64) string { return fmt.Sprintf("%s%016d", auditPrefix, revision) }

// auditPagePrefix returns the common key prefix of a page of accepted changes.
func auditPagePrefix(page int64) string { return fmt.Sprintf("%s%014d", auditPrefix, page) }

// refusedKey returns the key of the slot of a refused change. Each record replaces the record refusedSlots before it.
func refusedKey(sequence int64) string {
	return fmt.Sprintf("%s%04d", refusedPrefix, sequence%refusedSlots)
}

// refusedPagePrefix returns the common key prefix of a page of refused changes.
func refusedPagePrefix(page int64) string {
	return fmt.Sprintf("%s%02d", refusedPrefix, page%(refusedSlots/auditPageSize))
}
