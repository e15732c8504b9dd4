package placement

// Picker chooses one of the scored candidates, of which there is at least one, and returns its position in the list.
type Picker interface {
	Pick(scored []Scored) int
}
