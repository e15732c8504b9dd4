package routing

// Distance says how far a data centre is from this node.
type Distance uint8

// Distances, nearest first.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// weight is the relative chance of a cell at this distance to be one of the two that are compared.
func (d Distance) weight() float64 { return [...]float64{1, 0.25, 0.02}[min(d, OtherRegion)] }

// penalty is added to the pressure of a cell at this distance. Data centres of a region are about 1 ms apart, so a nearer
// cell is preferred only while it is about as busy.
func (d Distance) penalty() float64 { return [...]float64{0, 0.05, 0.5}[min(d, OtherRegion)] }
