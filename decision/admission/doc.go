// Package admission decides which waiting request may start on which endpoint of one cell. It has no I/O, clock or
// encoding; the caller passes the time.
package admission
