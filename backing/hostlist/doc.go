// Package hostlist reads the platform's list of hosts in the JSON of Prometheus HTTP service discovery, over HTTP or from
// a file.
//
// The labels are job ("node" or "endpoint"), service, datacentre, region, state ("live" or "leaving") and id.
package hostlist
