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

func (c DataCentreWritten) apply(s *State, _ time.Time) bool {
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
