package peer

// hubMessage is a message to the task of a Hub.
type hubMessage interface {
	apply(h *Hub)
}
