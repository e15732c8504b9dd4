package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/bootclock"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/pause"
)

const (
	// allKeys is the prefix of all keys: one poll for everything costs as much as one for each part.
	allKeys = ""
	// pollWait is how long a poll waits for changes. An answer without changes confirms that the node is up to date, so it
	// must be well below the 2 s in which a change must be in force: all nodes that poll may be cut off at once, and the
	// others then notice by the age of their knowledge.
	pollWait = 600 * time.Millisecond
	// pollSpacing is the time between the starts of two polls. A poll ends at the first change, and on a large fleet the next
	// one follows within milliseconds; each poll is charged.
	pollSpacing = 150 * time.Millisecond
	// callTimeout is how long an answer may take beyond a poll's wait. A store that is alive answers in milliseconds, and
	// in some hundred when it is slow.
	callTimeout = 500 * time.Millisecond
	// syncWait is how long a question to another node waits for changes, and syncTimeout what its answer may take beyond
	// that.
	syncWait    = 400 * time.Millisecond
	syncTimeout = 250 * time.Millisecond
	// maxRelayAge is the age of a relay's knowledge from which a node asks the store itself. An answer with changes
	// confirms the start of its poll, so ages reach two waits.
	maxRelayAge = 2*pollWait + 100*time.Millisecond
	// relayPause is how long a relay that did not help is left alone.
	relayPause = 3 * time.Second
	// firstPause and maxPause bound the wait between calls to a store that does not answer. Refused calls cost as well.
	firstPause = 200 * time.Millisecond
	maxPause   = time.Second
)

// follower is the task that keeps the view up to date, from the relay of the data centre where there is one, else from the
// store.
type follower struct {
	log   *zap.Logger
	store Store
	asker asker
	known *latest.Value[*Knowledge]
	view  mailbox.Mailbox[viewMessage]

	// position is the revision up to which everything is known; 0 before the first read.
	position int64
	// avoid says until when a relay is left alone, by address.
	avoid map[string]time.Time
	// storeFailed is set while the store does not answer; it is asked again after pause.
	storeFailed bool
	pause       time.Duration
	source      string
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	f.pause = firstPause
	for ctx.Err() == nil {
		f.position = max(f.position, f.known.Load().Position)
		if f.position > 0 {
			if address, ok := f.relay(); ok {
				f.ask(ctx, address)
				continue
			}
		}
		began := time.Now()
		if f.askStore(ctx) {
			pause.Sleep(ctx, time.Until(began.Add(pollSpacing)))
			continue
		}
		pause.Sleep(ctx, f.pause)
		f.pause = min(maxPause, 2*f.pause)
	}
}

// relay returns the address of a relay of the data centre that stands before this node.
func (f *follower) relay() (string, bool) {
	t := f.known.Load().topology
	now := time.Now()
	for rank, m := range t.relays {
		if t.rank >= 0 && rank >= t.rank {
			break
		}
		if now.After(f.avoid[m.Address]) {
			return m.Address, true
		}
	}
	return "", false
}

// ask waits at a relay for changes. One that does not answer, or whose own knowledge is old, is left alone for a while.
func (f *follower) ask(ctx context.Context, address string) {
	reply, err := f.asker.ask(ctx, address, f.position, syncWait)
	age := time.Duration(reply.AgeMillis) * time.Millisecond
	if ctx.Err() == nil && (err != nil || !reply.Known || age > maxRelayAge) {
		f.avoid[address] = time.Now().Add(relayPause)
		f.log.Info("relay left alone", zap.String("address", address), zap.Int64("revision", f.position),
			zap.Duration("age", age), logging.Cause(err))
	}
	if err == nil && reply.Known {
		f.follow(address, reply.Position)
	}
}

// askStore makes one call to the store and reports whether it was answered.
func (f *follower) askStore(ctx context.Context) bool {
	err := f.callStore(ctx)
	switch {
	case err == nil:
		if f.storeFailed {
			f.log.Info("store regained", zap.Int64("revision", f.position))
		}
		f.storeFailed, f.pause = false, firstPause
		return true
	case ctx.Err() != nil:
		return false
	case backing.ErrCompacted.Has(err):
		f.log.Info("history lost, reading everything again", zap.Int64("revision", f.position))
		return f.readStore(ctx) == nil
	}
	if !f.storeFailed {
		f.log.Warn("store lost", zap.Int64("revision", f.position), logging.Cause(err))
		_ = f.view.Send(ctx, storeLostMessage{})
	}
	f.storeFailed = true
	return false
}

// callStore reads everything, or what changed since.
func (f *follower) callStore(ctx context.Context) error {
	if f.position == 0 {
		return f.readStore(ctx)
	}
	began := bootclock.Now()
	call, cancel := context.WithTimeout(ctx, pollWait+callTimeout)
	defer cancel()
	batch, err := f.store.Poll(call, allKeys, f.position, pollWait)
	if err != nil {
		return err
	}
	f.follow("store", batch.Revision)
	if len(batch.Events) == 0 && bootclock.Now().Sub(began) >= pollWait {
		// The store has waited, so nothing had changed by the end of the wait.
		began = began.Add(pollWait)
	}
	return f.view.Send(ctx, storeChangedMessage{batch: batch, asOf: began})
}

// readStore reads everything.
func (f *follower) readStore(ctx context.Context) error {
	began := bootclock.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := f.store.Range(call, allKeys)
	if err != nil {
		return err
	}
	f.follow("store", all.Revision)
	return f.view.Send(ctx, storeReadMessage{result: all, asOf: began})
}

// follow notes how far the node's knowledge goes, and logs from where it comes.
func (f *follower) follow(source string, revision int64) {
	f.position = max(f.position, revision)
	if f.source != source {
		f.log.Info("following", zap.String("source", source), zap.String("before", f.source), zap.Int64("revision", revision))
		f.source = source
	}
}
