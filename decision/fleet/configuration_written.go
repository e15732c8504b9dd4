package fleet

import (
	"fmt"
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
)

// ConfigurationWritten is the change that operators wrote a configuration.
type ConfigurationWritten struct {
	Configuration *catalog.Configuration
	Revision      int64
}

// apply ignores versions that are not newer, since changes may arrive out of order.
func (c ConfigurationWritten) apply(s *State, _ time.Time) bool {
	if s.configuration != nil && c.Configuration.Version <= s.configuration.Version {
		return false
	}
	s.configuration = c.Configuration
	return true
}

// String implements fmt.Stringer.
func (c ConfigurationWritten) String() string {
	return fmt.Sprintf("configuration version %d with %d routes", c.Configuration.Version, len(c.Configuration.Routes))
}
