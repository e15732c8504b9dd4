package edge

// storeLostMessage reports that the store does not answer.
type storeLostMessage struct{}

func (storeLostMessage) apply(v *view) { v.storeLost() }
