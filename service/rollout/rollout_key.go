package rollout

// rolloutKey identifies a roll-out by its service and the revision of its order.
type rolloutKey struct {
	service  string
	revision int64
}
