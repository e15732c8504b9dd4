package ownership

import (
	"fmt"
	"strings"
)

// ClaimShards is the number of claim shards.
const ClaimShards = 16

// CellName returns the name of a cell of a service in a data centre. The name includes the number of cells, so that the
// endpoints of a cell never change because of that number.
func CellName(service, dataCentre string, index, cells int) string {
	return fmt.Sprintf("cells/%s/%s/%d-of-%d", service, dataCentre, index, cells)
}

// ClaimShardPrefix is the prefix of the names of claim shards.
const ClaimShardPrefix = "claims/"

// ClaimShardName returns the name of a claim shard.
func ClaimShardName(shard int) string { return fmt.Sprintf("%s%02d", ClaimShardPrefix, shard) }

// cellNameParts is the number of parts of the name of a cell: prefix, service, data centre and index.
const cellNameParts = 4

// DataCentreOfCell returns the data centre in the name of a cell, or "" for any other name.
func DataCentreOfCell(cell string) string {
	parts := strings.Split(cell, "/")
	if len(parts) != cellNameParts {
		return ""
	}
	return parts[2]
}
