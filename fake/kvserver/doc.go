// Package kvserver is a stand-in for the platform's key-value service. It serves the published etcd v3 API with limits on
// its rates, outages, slowness and lost answers.
package kvserver
