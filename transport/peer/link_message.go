package peer

// linkMessage is a message to the task of a link.
type linkMessage interface {
	apply(l *link)
}
