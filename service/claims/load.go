package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/claim"
)

const (
	// firstRetry is the mean wait after the first failed call; it doubles up to maxRetry.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 2 * time.Second
	// loadTimeout bounds the read of all batches of a shard, which are up to 30 MB.
	loadTimeout = 10 * time.Second
)

// load reads the batches of all owners so far, and reports whether it succeeded before ctx ended. This node's owner record
// is in place already, so no batch of an owner before can be added any more. Claims wait in the mailbox meanwhile.
func (s *Shard) load(ctx context.Context) bool {
	for failures := 1; ; failures++ {
		err := s.loadOnce(ctx)
		if err == nil {
			s.log.Info("claims loaded", zap.Int("claims", s.set.Len()), zap.Int("batches", len(s.stored)))
			return true
		}
		s.log.Warn("claims not loaded", zap.Error(err))
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retryDelay(failures)):
		}
	}
}

func (s *Shard) loadOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	result, err := s.kv.Range(ctx, s.prefix())
	if err != nil {
		return err
	}
	if s.stored, err = readBatches(result.Entries, s.set.Replay); err != nil {
		return err
	}
	s.set.Expire(time.Now())
	return nil
}

func (s *Shard) prefix() string { return s.resource + "/" }

// reloadMessage carries the entries of the shard.
type reloadMessage struct {
	result backing.RangeResult
	err    error
}

// startReload reads the list of stored batches again, after a merge whose outcome is not known.
func (s *Shard) startReload(ctx context.Context) {
	s.call(ctx, func(ctx context.Context) shardMessage {
		result, err := s.kv.Range(ctx, s.prefix())
		return reloadMessage{result: result, err: err}
	})
}

func (m reloadMessage) apply(s *Shard) {
	s.busy = false
	var stored []storedBatch
	err := m.err
	if err == nil {
		stored, err = readBatches(m.result.Entries, func(claim.Record) {})
	}
	if err != nil {
		s.failed("batches not read", err)
		return
	}
	s.stored, s.reload = stored, false
}

// failed delays the next call.
func (s *Shard) failed(what string, err error) {
	s.failures++
	s.notBefore = time.Now().Add(retryDelay(s.failures))
	s.log.Warn(what, zap.Error(err), zap.Int("failures", s.failures))
}

// retryDelay returns a wait drawn from half to one and a half of a mean that doubles with each failure.
func retryDelay(failures int) time.Duration {
	mean := min(maxRetry, firstRetry<<min(failures-1, 10))
	return mean/2 + rand.N(mean)
}
