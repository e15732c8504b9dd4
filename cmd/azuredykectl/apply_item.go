package main

import (
	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// applyItem is one validated document of a file.
type applyItem struct {
	kind   *objectKind
	object *operatorv1.Object
	// expectedRevision is nil when the change is based on the newest revision that the server returns.
	expectedRevision *int64
}
