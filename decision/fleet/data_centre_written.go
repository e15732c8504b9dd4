package fleet

import (
	"fmt"
	"time"
)

// DataCentreWritten says that operators took a data centre out or back.
type DataCentreWritten struct {
	Name string
	Out  bool
}

func (c DataCentreWritten) apply(s *State, _ time.Time) bool {
	if s.out[c.Name] == c.Out {
		return false
	}
	if c.Out {
		s.out[c.Name] = true
	} else {
		delete(s.out, c.Name)
	}
	return true
}

// String implements fmt.Stringer.
func (c DataCentreWritten) String() string {
	return fmt.Sprintf("data centre %s out: %t", c.Name, c.Out)
}
