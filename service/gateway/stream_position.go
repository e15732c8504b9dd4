package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

// streamPosition is a place in a generation, as callers see it in event ids and send it back in Last-Event-ID:
// <generation>.<workspace>.<endpoint>.<node>:<number>. The names of workspace, endpoint and node are hashed, so that no
// address of the site reaches callers.
type streamPosition struct {
	generation string
	workspace  string
	endpoint   string
	node       string
	// number is the last part that the caller has, -1 for none.
	number int
}

// positionParts is the number of parts before the colon.
const positionParts = 4

// newStreamPosition returns the position before the first part of a generation.
func newStreamPosition(generation, workspace, endpoint, node string) streamPosition {
	return streamPosition{
		generation: generation, workspace: workspaceTag(generation, workspace), endpoint: nameTag(endpoint),
		node: nameTag(node), number: -1,
	}
}

// prefix returns the part of the event id that all parts of the generation share.
func (p streamPosition) prefix() string {
	return strings.Join([]string{p.generation, p.workspace, p.endpoint, p.node}, ".")
}

// parseStreamPosition reads an event id.
func parseStreamPosition(id string) (streamPosition, error) {
	prefix, number, ok := strings.Cut(id, ":")
	parts := strings.Split(prefix, ".")
	if !ok || len(parts) != positionParts {
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
	return streamPosition{generation: parts[0], workspace: parts[1], endpoint: parts[2], node: parts[3], number: n}, nil
}

// belongsTo reports whether the generation was started for the workspace.
func (p streamPosition) belongsTo(workspace string) bool {
	return p.workspace == workspaceTag(p.generation, workspace)
}

// tagBytes is the length of a workspace tag before it is written in hexadecimal.
const tagBytes = 8

// workspaceTag binds a generation to its workspace.
func workspaceTag(generation, workspace string) string {
	sum := sha256.Sum256([]byte(generation + "\x00" + workspace))
	return hex.EncodeToString(sum[:tagBytes])
}

// nameTag hides a name but lets those who know all names find it.
func nameTag(name string) string { return strconv.FormatUint(xxh3.HashString(name), 16) }
