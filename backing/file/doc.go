// Package file provides a fixed configuration from a file instead of a key-value service, for small sites.
//
// The file is YAML or JSON:
//
//	revision: 3 # raised with each edit; nodes ignore a lower revision
//	objects:
//	  - kind: service
//	    name: notes
//	    service: {type: model, models: [small], cold_limit: 2, max_concurrency: 16, cells: 1, queue_timeout: 5s}
//
// The configuration is read-only: claims and configuration changes are not possible.
package file
