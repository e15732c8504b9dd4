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
)

func objectKey(ref config.Ref) string {
	return objectsPrefix + string(ref.Kind) + "/" + ref.Name
}

func operationKey(id string) string { return operationsPrefix + id }

// auditKey sorts records by revision.
func auditKey(revision int64) string { return fmt.Sprintf("%s%016d", auditPrefix, revision) }
