package soak

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/test/harness"
)

const (
	// restartPause is how long a node is down after its process has ended.
	restartPause = 300 * time.Millisecond
	// keeperCapacity bounds the waiting orders of a keeper; the injector waits for room.
	keeperCapacity = 64
)

// keeper is the task that owns the process of a node: it starts it, passes signals on and starts it again when it has ended,
// as the platform does.
type keeper struct {
	number int
	node   *harness.EdgeNode
	orders mailbox.Mailbox[keeperOrder]

	lives   []life
	running bool
}

func newKeeper(number int, n *harness.EdgeNode) *keeper {
	return &keeper{number: number, node: n, orders: mailbox.New[keeperOrder](keeperCapacity)}
}

// run keeps the process going until ctx ends, and returns the lives of all its processes.
func (k *keeper) run(ctx context.Context) []life {
	k.start()
	var restart, overrun <-chan time.Time
	for {
		var exited <-chan error
		if k.running {
			exited = k.node.Exited()
		}
		select {
		case <-ctx.Done():
			return k.lives
		case err := <-exited:
			k.ended(err)
			restart, overrun = time.After(restartPause), nil
		case <-restart:
			k.start()
			restart = nil
		case <-overrun:
			k.apply(orderKill)
			overrun = nil
		case order := <-k.orders.Receive():
			if k.running && k.apply(order) {
				overrun = time.After(grace)
			}
		}
	}
}

func (k *keeper) current() *life { return &k.lives[len(k.lives)-1] }

func (k *keeper) start() {
	k.node.Start()
	k.running = true
	k.lives = append(k.lives, life{node: k.number, started: time.Now()})
}

func (k *keeper) ended(err error) {
	k.running = false
	l := k.current()
	l.ended = time.Now()
	if err != nil {
		l.err = err.Error()
	}
}

// apply sends a signal and reports whether the grace of a planned stop begins.
func (k *keeper) apply(order keeperOrder) bool {
	l := k.current()
	switch order {
	case orderKill:
		l.killed = true
		k.node.SendKill()
	case orderTerminate:
		k.node.Terminate()
		if l.termAt.IsZero() {
			l.termAt = time.Now()
			return true
		}
	case orderHangup:
		k.node.HangUp()
	case orderPause:
		k.node.Pause()
	case orderContinue:
		k.node.Continue()
	}
	return false
}
