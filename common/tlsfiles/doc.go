// Package tlsfiles provides TLS configurations from PEM files. The files are read again when they change: each handshake
// looks at them, at most once a second. Files that cannot be used leave the earlier ones in force.
package tlsfiles
