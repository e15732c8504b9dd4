package edge

import (
	"errors"
	"os"
	"time"
)

const (
	// callerTimeout is the time after which a write of the front end fails, and unblockTime the time that an interrupted one takes.
	callerTimeout = 5 * time.Second
	unblockTime   = 50 * time.Millisecond
)

var errInterruptedWrite = errors.New("interrupted")

// pacedCaller is a caller whose writes take the times that pace returns for their numbers. It fails like the callers of the front
// end, and holds no lock: the race detector sees a request that ends while a write is in progress.
type pacedCaller struct {
	recordedCaller
	pace        func(write int) time.Duration
	writes      int
	interrupted chan struct{}
}

func newPacedCaller(pace func(write int) time.Duration) *pacedCaller {
	return &pacedCaller{pace: pace, interrupted: make(chan struct{})}
}

func (c *pacedCaller) Write(part []byte) error {
	c.writes++
	select {
	case <-time.After(c.pace(c.writes)):
		c.body += string(part)
		return nil
	case <-time.After(callerTimeout):
		return os.ErrDeadlineExceeded
	case <-c.interrupted:
		time.Sleep(unblockTime)
		c.writes--
		return errInterruptedWrite
	}
}

// Interrupt is called once at most.
func (c *pacedCaller) Interrupt() { close(c.interrupted) }
