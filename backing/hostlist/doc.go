// Package hostlist reads the platform's host list, over HTTP or from a file, in the JSON format of Prometheus HTTP service
// discovery.
//
// The labels are job ("node" or "endpoint"), service, datacentre, region, state ("live" or "leaving") and id.
package hostlist
