// Package shutdown decides which requests a stopping node still sends to an endpoint. It has no I/O and no clock.
package shutdown
