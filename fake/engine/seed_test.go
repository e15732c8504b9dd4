package engine

import "flag"

// The seed is fixed so that CI runs are reproducible; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }
