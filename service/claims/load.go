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
	// firstRetryDelay is the mean delay after the first failed call; it doubles with each failure up to maxRetryDelay.
	firstRetryDelay = 100 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
	// loadTimeout bounds the read of all batches of a shard, up to 30 MB.
	loadTimeout = 10 * time.Second
)

// load reads the stored batches of the shard, and reports whether it succeeded before ctx ended. The owner record of this
// node is already stored, so no previous owner can add a batch any more. Claims wait in the mailbox meanwhile.
func (s *Shard) load(ctx context.Context) bool {
	for failures := 1; ; failures++ {
		err := s.loadOnce(ctx)
		if err == nil {
			s.log.Info("claims loaded", zap.Int("claims", s.set.Len()), zap.Int("batches", len(s.stored)))
			return true
		}
		s.log.Warn("failed to load claims; retrying", zap.Error(err))
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

// reloadMessage is the result of reading the stored batches of the shard.
type reloadMessage struct {
	result backing.RangeResult
	err    error
}

// startReload reads the list of stored batches again after a compaction whose outcome is unknown.
func (s *Shard) startReload(ctx context.Context) {
	s.startCall(ctx, func(ctx context.Context) shardMessage {
		result, err := s.kv.Range(ctx, s.prefix())
		return reloadMessage{result: result, err: err}
	})
}

func (m reloadMessage) apply(s *Shard) {
	s.callRunning = false
	var stored []storedBatch
	err := m.err
	if err == nil {
		stored, err = readBatches(m.result.Entries, func(claim.Record) {})
	}
	if err != nil {
		s.recordFailure("failed to read the stored batches; retrying", err)
		return
	}
	s.stored, s.reloadNeeded = stored, false
}

// recordFailure logs a failed call and delays the next one.
func (s *Shard) recordFailure(text string, err error) {
	s.failures++
	s.notBefore = time.Now().Add(retryDelay(s.failures))
	s.log.Warn(text, zap.Error(err), zap.Int("failures", s.failures))
}

// retryDelay returns a random delay between 0.5 and 1.5 times a mean that doubles with each failure.
func retryDelay(failures int) time.Duration {
	mean := min(maxRetryDelay, firstRetryDelay<<min(failures-1, 10))
	return mean/2 + rand.N(mean)
}
