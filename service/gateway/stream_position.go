package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

// streamPosition is a position in the stream of a generation. Event ids carry it to callers, who return it in the header
// Last-Event-ID. Its form is <generation>.<workspace>.<endpoint>.<node>:<number>. The names of workspace, endpoint and node
// are hashed, so that callers receive no internal address.
type streamPosition struct {
	generation   string
	workspaceTag string
	endpointTag  string
	nodeTag      string
	// partNumber is the number of the last part that the caller has, or -1 for none.
	partNumber int
}

// prefixFields is the number of fields before the colon of an event id.
const prefixFields = 4

// newStreamPosition returns the position before the first part of a generation.
func newStreamPosition(generation, workspace, endpoint, node string) streamPosition {
	return streamPosition{
		generation: generation, workspaceTag: workspaceTag(generation, workspace), endpointTag: nameTag(endpoint),
		nodeTag: nameTag(node), partNumber: -1,
	}
}

// prefix returns the event id without the colon and the part number, which is the same for all parts of a generation.
func (p streamPosition) prefix() string {
	return strings.Join([]string{p.generation, p.workspaceTag, p.endpointTag, p.nodeTag}, ".")
}

// parseStreamPosition parses an event id.
func parseStreamPosition(id string) (streamPosition, error) {
	prefix, number, ok := strings.Cut(id, ":")
	parts := strings.Split(prefix, ".")
	if !ok || len(parts) != prefixFields {
		return streamPosition{}, fmt.Errorf("%q is not an event id of this service", id)
	}
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 {
		return streamPosition{}, fmt.Errorf("%q is not a part number", number)
	}
	for _, part := range parts {
		if strings.Trim(part, "0123456789abcdef-") != "" || part == "" {
			return streamPosition{}, fmt.Errorf("%q is not an event id of this service", id)
		}
	}
	return streamPosition{generation: parts[0], workspaceTag: parts[1], endpointTag: parts[2], nodeTag: parts[3], partNumber: n}, nil
}

// belongsTo reports whether the generation was started for the workspace.
func (p streamPosition) belongsTo(workspace string) bool {
	return p.workspaceTag == workspaceTag(p.generation, workspace)
}

// tagBytes is the length of a workspace tag before its encoding in hexadecimal.
const tagBytes = 8

// workspaceTag returns a hash that binds a generation to its workspace.
func workspaceTag(generation, workspace string) string {
	sum := sha256.Sum256([]byte(generation + "\x00" + workspace))
	return hex.EncodeToString(sum[:tagBytes])
}

// nameTag returns the hash of a name, which a node can resolve by hashing the names of all hosts.
func nameTag(name string) string { return strconv.FormatUint(xxh3.HashString(name), 16) }
