package placement

// Picker chooses one of the scored candidates and returns its position in the list, which is never empty.
type Picker interface {
	Pick(scored []Scored) int
}
