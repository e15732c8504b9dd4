package claims

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/claim"
	"azuredyke.dev/azuredyke/decision/ownership"
)

const (
	// mailboxCapacity is the number of messages that a shard's mailbox holds. When it is full, claims are refused and
	// settlements wait.
	mailboxCapacity = 4096
	// maxQueuedRecords is the number of records that may wait to be written; claims beyond it are refused.
	maxQueuedRecords = 8192
	// maxBatchBytes bounds one batch, well below the 1 MB limit of the key-value service.
	maxBatchBytes = 256 << 10
	// compactionInterval is the interval at which expired claims are removed and batches are merged or deleted.
	compactionInterval = time.Second
	// busyRetryAfter is the retry advice to callers when the shard is overloaded or stops.
	busyRetryAfter = time.Second
	// outageRetryAfter is the retry advice to callers when claims cannot be recorded, during a change of the owner or an
	// outage of the key-value service.
	outageRetryAfter = 5 * time.Second
)

// Shard is the task that owns the claims of one shard. A claim is granted only once its batch is known to be durable.
type Shard struct {
	log      *zap.Logger
	kv       backing.KV
	options  Options
	resource string
	fence    uint64
	holdings *latest.Value[ownership.Holdings]
	messages mailbox.Mailbox[shardMessage]
	calls    sync.WaitGroup

	set     *claim.Set
	waiting map[message.ClaimKey][]claimMessage
	limiter *rate.Limiter
	stored  []storedBatch
	// nextSequence is the sequence number of the next batch.
	nextSequence uint64
	// unresolved is the batch whose write is not confirmed yet; its records are in flight in set.
	unresolved *unresolvedBatch
	// callRunning is set while a call to the key-value service is in flight; there is at most one.
	callRunning bool
	failures    int
	// notBefore is the earliest time of the next call after a failure.
	notBefore time.Time
	// reloadNeeded is set when the list of stored batches must be read again.
	reloadNeeded   bool
	nextCompaction time.Time
	// drainWaiters are closed when no record is queued any more.
	drainWaiters []chan struct{}
}

// shardMessage is a message to the task of a Shard.
type shardMessage interface {
	apply(s *Shard)
}

func newShard(
	log *zap.Logger, kv backing.KV, options Options, resource string, fence uint64, holdings *latest.Value[ownership.Holdings],
) *Shard {
	return &Shard{
		log: log.With(zap.String("shard", resource), zap.Uint64("fence", fence)), kv: kv, options: options,
		resource: resource, fence: fence, holdings: holdings, messages: mailbox.New[shardMessage](mailboxCapacity),
		set: claim.NewSet(options.Retention), waiting: map[message.ClaimKey][]claimMessage{},
		limiter: rate.NewLimiter(rate.Limit(options.WritesPerSecond), 1), nextSequence: 1,
	}
}

// Claim returns once the claim is durable or refused. When ctx ends first, the reply is ClaimUnavailable.
func (s *Shard) Claim(ctx context.Context, r message.ClaimRequest) message.ClaimReply {
	reply := make(chan message.ClaimReply, 1)
	if !s.messages.TrySend(claimMessage{ctx: ctx, request: r, reply: reply}) {
		return unavailableReply(busyRetryAfter)
	}
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
		return unavailableReply(busyRetryAfter)
	}
}

// Settle queues the end of a claim; it does not wait until the end is durable. An error means that ctx ended first.
func (s *Shard) Settle(ctx context.Context, c message.ClaimSettle) error {
	return Error.Wrap(s.messages.Send(ctx, settleMessage{settle: c}))
}

// run loads the claims and handles messages until ctx ends, and then refuses the waiting claims.
func (s *Shard) run(ctx context.Context) {
	defer s.calls.Wait()
	defer s.notifyDrained()
	defer s.refuseWaiting()
	if !s.load(ctx) {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.messages.Receive():
			m.apply(s)
		case <-timer.C:
		}
		timer.Reset(s.startDueCall(ctx, time.Now()))
	}
}

// startDueCall starts the call that is due, if any, and returns the time until the next check.
func (s *Shard) startDueCall(ctx context.Context, now time.Time) time.Duration {
	s.notifyDrained()
	if s.callRunning {
		// The task runs again as soon as the result of the call arrives.
		return compactionInterval
	}
	compactionDue := !now.Before(s.nextCompaction)
	if s.set.Queued() == 0 && !s.reloadNeeded && !compactionDue {
		return s.nextCompaction.Sub(now)
	}
	if now.Before(s.notBefore) {
		return s.notBefore.Sub(now)
	}
	if s.limiter.TokensAt(now) < 1 {
		return s.writeTokenDelay(now)
	}
	if compactionDue {
		s.nextCompaction = now.Add(compactionInterval)
		s.set.Expire(now)
	}
	switch {
	case s.reloadNeeded:
		s.startReload(ctx)
	case compactionDue && s.unresolved == nil && s.startCompaction(ctx, now):
		s.limiter.AllowN(now, 1)
	case s.set.Queued() > 0:
		s.limiter.AllowN(now, 1)
		s.startWrite(ctx)
	}
	return compactionInterval
}

// writeTokenDelay returns the time until the limiter has a token for a write.
func (s *Shard) writeTokenDelay(now time.Time) time.Duration {
	missing := 1 - s.limiter.TokensAt(now)
	return time.Duration(missing/float64(s.limiter.Limit())*float64(time.Second)) + time.Millisecond
}

// startCall runs f in a goroutine with CallTimeout and sends the message that f returns to the task.
func (s *Shard) startCall(ctx context.Context, f func(ctx context.Context) shardMessage) {
	s.callRunning = true
	s.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
		defer cancel()
		_ = s.messages.Send(ctx, f(callCtx))
	})
}

// currentHold returns the node's hold on the shard, and whether the hold is confirmed at the given time.
func (s *Shard) currentHold(now time.Time) (ownership.Hold, bool) {
	h := s.holdings.Load()
	hold, ok := h.ByResource[s.resource]
	return hold, ok && hold.Fence == s.fence && h.Confirmed(now)
}

// refuseWaiting replies ClaimUnavailable to the claims that wait for a write when the task ends, since the outcome of the
// write is unknown.
func (s *Shard) refuseWaiting() {
	for _, list := range s.waiting {
		for _, m := range list {
			m.reply <- unavailableReply(busyRetryAfter)
		}
	}
}

func unavailableReply(after time.Duration) message.ClaimReply {
	return message.ClaimReply{Status: message.ClaimUnavailable, RetryAfter: after}
}
