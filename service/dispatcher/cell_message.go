package dispatcher

// cellMessage is a message to the task of a Cell.
type cellMessage interface {
	apply(c *Cell)
}
