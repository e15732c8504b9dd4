// Package fleet holds what a node believes of the configuration, the data centres that are out, and the endpoints. It has
// no I/O: changes and times come in, snapshots go out.
package fleet
