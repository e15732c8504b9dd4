package configuration

import "azuredyke.dev/azuredyke/decision/config"

// Accepted describes a change that is known to have taken effect.
type Accepted struct {
	Revision int64
	// Object is nil for a deletion.
	Object   *config.Object
	Warnings []config.Problem
}
