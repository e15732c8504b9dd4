package routing

// Distance is the distance between this node and a data centre.
type Distance uint8

// Distances, nearest first.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// weight returns the relative probability that a cell at this distance is sampled.
func (d Distance) weight() float64 { return [...]float64{1, 0.25, 0.02}[min(d, OtherRegion)] }

// penalty returns the addition to the pressure of a cell at this distance. Data centres of a region are about 1 ms
// apart, so a nearer cell is preferred only if its pressure is at most slightly higher.
func (d Distance) penalty() float64 { return [...]float64{0, 0.05, 0.5}[min(d, OtherRegion)] }
