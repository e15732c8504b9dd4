// Package tlsfiles provides TLS configurations from PEM files. Changed files are reloaded: a handshake checks the files, at
// most once a second. If the new files cannot be used, the last usable ones stay in use.
package tlsfiles
