// Package metastore is a stand-in for the users' platform's metadata store: HTTP/1.1 with JSON over a store in memory.
package metastore
