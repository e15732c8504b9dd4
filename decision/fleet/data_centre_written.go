package fleet

import (
	"fmt"
	"time"
)

// DataCentreWritten is the change that operators took a data centre out or brought it back.
type DataCentreWritten struct {
	Name string
	Out  bool
}

// apply keeps an order that the key-value service has lost, since the operators have not taken it back.
func (c DataCentreWritten) apply(s *State, now time.Time) bool {
	if !c.Out && s.readsNewEra && s.dataCentresOut[c.Name] {
		s.outUntil[c.Name] = now.Add(orderGrace)
		return false
	}
	delete(s.outUntil, c.Name)
	if s.dataCentresOut[c.Name] == c.Out {
		return false
	}
	if c.Out {
		s.dataCentresOut[c.Name] = true
	} else {
		delete(s.dataCentresOut, c.Name)
	}
	return true
}

// String implements fmt.Stringer.
func (c DataCentreWritten) String() string {
	return fmt.Sprintf("data centre %s out: %t", c.Name, c.Out)
}
