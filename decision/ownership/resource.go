package ownership

import (
	"fmt"
	"strings"
)

// ClaimShards is the number of claim shards.
const ClaimShards = 16

// CellName returns the name of a cell of a service in a data centre. It includes the number of cells, so that a cell
// never changes its endpoints because of that number.
func CellName(service, dataCentre string, index, cells int) string {
	return fmt.Sprintf("cells/%s/%s/%d-of-%d", service, dataCentre, index, cells)
}

// ClaimShardPrefix starts the names of claim shards.
const ClaimShardPrefix = "claims/"

// ClaimShardName returns the name of a claim shard.
func ClaimShardName(shard int) string { return fmt.Sprintf("%s%02d", ClaimShardPrefix, shard) }

// cellNameParts is the number of parts of a cell's name: the prefix, the service, the data centre and the index.
const cellNameParts = 4

// DataCentreOfCell returns the data centre in the name of a cell, or an empty string for any other name.
func DataCentreOfCell(cell string) string {
	parts := strings.Split(cell, "/")
	if len(parts) != cellNameParts {
		return ""
	}
	return parts[2]
}
