// Package retry decides whether a failed request may be retried, so that retries do not multiply the load. It has no
// I/O and no clock.
package retry
