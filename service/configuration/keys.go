package configuration

import (
	"fmt"

	"azuredyke.dev/azuredyke/decision/config"
)

// Keys of the configuration in the key-value service.
const (
	prefix           = "config/"
	headKey          = "config/head"
	objectsPrefix    = "config/objects/"
	operationsPrefix = "config/operations/"
	auditPrefix      = "config/audit/"
	refusedHeadKey   = "config/refused-head"
	refusedPrefix    = "config/refused/"
)

const (
	// auditPage is the number of records that one read returns. The keys of a page share all digits but the last two.
	auditPage = 100
	// refusedSlots bounds the records of refused changes. They are kept apart from those of accepted changes, so that a
	// script that is refused again and again cannot push accepted changes out of the audit trail.
	refusedSlots = 1000
)

func objectKey(ref config.Ref) string {
	return objectsPrefix + string(ref.Kind) + "/" + ref.Name
}

func operationKey(id string) string { return operationsPrefix + id }

// auditKey sorts records by revision.
func auditKey(revision int64) string { return fmt.Sprintf("%s%016d", auditPrefix, revision) }

// auditPagePrefix is what the keys of a page have in common.
func auditPagePrefix(page int64) string { return fmt.Sprintf("%s%014d", auditPrefix, page) }

// refusedKey is the slot of a refused change; a new record replaces the one refusedSlots before it.
func refusedKey(sequence int64) string {
	return fmt.Sprintf("%s%04d", refusedPrefix, sequence%refusedSlots)
}

// refusedPagePrefix is what the slots of a page have in common.
func refusedPagePrefix(page int64) string {
	return fmt.Sprintf("%s%02d", refusedPrefix, page%(refusedSlots/auditPage))
}
