package shutdown

import "flag"

// The fixed seed makes CI runs reproducible; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }
