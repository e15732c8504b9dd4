package configuration

import "azuredyke.dev/azuredyke/decision/config"

// AcceptedChange is the result of a change that has been written to the key-value service.
type AcceptedChange struct {
	Revision int64
	// Object is the object after the change; nil for a deletion.
	Object   *config.Object
	Warnings []config.Problem
}
