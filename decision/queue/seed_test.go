package queue

import "flag"

// The fixed seed makes the tests reproducible in CI; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }
