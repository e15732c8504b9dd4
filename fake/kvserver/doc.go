// Package kvserver is a fake of the platform's key-value service for tests. It serves the etcd v3 API with rate limits,
// and simulates outages, delays and lost answers.
package kvserver
