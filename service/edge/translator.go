package edge

import (
	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/fleet"
)

// Translator decodes one change of the store. The result is nil for keys that the node does not use. An error may come with
// a change that must still be applied.
type Translator func(backing.WatchEvent) (fleet.Change, error)
