package rollout

import "azuredyke.dev/azuredyke/decision/rollout"

// StatusEncoder returns the key and the value of the status that operators read.
type StatusEncoder func(service, target string, p rollout.Phase) (key string, value []byte)
