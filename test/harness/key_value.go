package harness

import "azuredyke.dev/azuredyke/fake/kvserver"

// KeyValue is the key-value service behind a link.
type KeyValue struct {
	*kvserver.Server
	Link *Link
}
