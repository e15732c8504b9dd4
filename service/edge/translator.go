package edge

import (
	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/fleet"
)

// Translator decodes one change of the store; the result is nil for keys of no interest. An error may come with a change.
type Translator func(backing.WatchEvent) (fleet.Change, error)
