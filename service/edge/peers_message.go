package edge

// peersMessage is a message to the peers task.
type peersMessage interface {
	apply(p *peers)
}
