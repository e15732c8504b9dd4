// Package retry decides whether a failed request may be tried again without multiplying the load. It has no I/O and no
// clock.
package retry
