// Package config defines the operators' configuration: its objects, the validation of changes, the detection of
// conflicts, and the order and differences of snapshots. It has no I/O, no clock and no encoding.
package config
