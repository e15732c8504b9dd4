package main

import (
	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// applyItem is one document, ready to be sent.
type applyItem struct {
	kind   *objectKind
	object *operatorv1.Object
	// expected is nil when the change is made against the newest revision that the server shows.
	expected *int64
}
