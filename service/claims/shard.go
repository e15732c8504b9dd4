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
	// shardCapacity bounds the waiting messages of a shard. Claims beyond it are refused, settlements wait.
	shardCapacity = 4096
	// maxQueued bounds the records that wait to be written; claims beyond it are refused.
	maxQueued = 8192
	// batchBytes bounds one batch, well below the 1 MB that the key-value service takes.
	batchBytes = 256 << 10
	// upkeepInterval is how often old claims are forgotten and batches are merged or deleted.
	upkeepInterval = time.Second
	// busyRetryAfter is the advice to callers when the shard has too much waiting.
	busyRetryAfter = time.Second
	// retryAfter is the advice to callers whose claim could not be recorded, which lasts as long as a change of owner or an outage.
	retryAfter = 5 * time.Second
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
	// next is the sequence number of the next batch.
	next uint64
	// writing is the batch that is not resolved yet; its records are in flight in set.
	writing *unresolvedBatch
	// busy says that a call to the key-value service runs; there is one at a time.
	busy     bool
	failures int
	// notBefore is when the next call may start after a failure.
	notBefore time.Time
	// reload says that the list of stored batches must be read again.
	reload     bool
	nextUpkeep time.Time
	// draining are closed when nothing is queued any more.
	draining []chan struct{}
}

// shardMessage is a message to the task.
type shardMessage interface {
	apply(s *Shard)
}

func newShard(log *zap.Logger, kv backing.KV, options Options, resource string, fence uint64, holdings *latest.Value[ownership.Holdings]) *Shard {
	return &Shard{
		log: log.With(zap.String("shard", resource), zap.Uint64("fence", fence)), kv: kv, options: options,
		resource: resource, fence: fence, holdings: holdings, messages: mailbox.New[shardMessage](shardCapacity),
		set: claim.NewSet(options.Retention), waiting: map[message.ClaimKey][]claimMessage{},
		limiter: rate.NewLimiter(rate.Limit(options.WritesPerSecond), 1), next: 1,
	}
}

// Claim returns once the claim is durable or refused. When ctx ends first, the reply is ClaimUnavailable.
func (s *Shard) Claim(ctx context.Context, r message.ClaimRequest) message.ClaimReply {
	reply := make(chan message.ClaimReply, 1)
	if !s.messages.TrySend(claimMessage{ctx: ctx, request: r, reply: reply}) {
		return unavailable(busyRetryAfter)
	}
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
		return unavailable(busyRetryAfter)
	}
}

// Settle hands the end of a claim to the task.
func (s *Shard) Settle(ctx context.Context, c message.ClaimSettle) error {
	return Error.Wrap(s.messages.Send(ctx, settleMessage{settle: c}))
}

// run loads the claims and handles messages until ctx ends, then refuses the claims that still wait.
func (s *Shard) run(ctx context.Context) {
	defer s.calls.Wait()
	defer s.finishDrain()
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
		timer.Reset(s.work(ctx, time.Now()))
	}
}

// work starts the call that is due and returns how long to wait for the next one.
func (s *Shard) work(ctx context.Context, now time.Time) time.Duration {
	s.finishDrain()
	if s.busy {
		// The result of the call wakes the task.
		return upkeepInterval
	}
	upkeep := !now.Before(s.nextUpkeep)
	if s.set.Queued() == 0 && !s.reload && !upkeep {
		return s.nextUpkeep.Sub(now)
	}
	if now.Before(s.notBefore) {
		return s.notBefore.Sub(now)
	}
	if s.limiter.TokensAt(now) < 1 {
		return s.tokenDelay(now)
	}
	if upkeep {
		s.nextUpkeep = now.Add(upkeepInterval)
		s.set.Expire(now)
	}
	switch {
	case s.reload:
		s.startReload(ctx)
	case upkeep && s.writing == nil && s.startUpkeep(ctx, now):
		s.limiter.AllowN(now, 1)
	case s.set.Queued() > 0:
		s.limiter.AllowN(now, 1)
		s.startWrite(ctx)
	}
	return upkeepInterval
}

// tokenDelay returns how long the next write token takes.
func (s *Shard) tokenDelay(now time.Time) time.Duration {
	missing := 1 - s.limiter.TokensAt(now)
	return time.Duration(missing/float64(s.limiter.Limit())*float64(time.Second)) + time.Millisecond
}

// call runs f in a goroutine with the timeout of one call and sends the message that it returns.
func (s *Shard) call(ctx context.Context, f func(ctx context.Context) shardMessage) {
	s.busy = true
	s.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
		defer cancel()
		_ = s.messages.Send(ctx, f(callCtx))
	})
}

// hold returns the node's hold on the shard, and whether it is certain to be valid now.
func (s *Shard) hold(now time.Time) (ownership.Hold, bool) {
	h := s.holdings.Load()
	hold, ok := h.ByResource[s.resource]
	return hold, ok && hold.Fence == s.fence && h.Confirmed(now)
}

// refuseWaiting answers the claims that still wait when the task ends. Nothing is known about them.
func (s *Shard) refuseWaiting() {
	for _, list := range s.waiting {
		for _, m := range list {
			m.reply <- unavailable(busyRetryAfter)
		}
	}
}

func unavailable(after time.Duration) message.ClaimReply {
	return message.ClaimReply{Status: message.ClaimUnavailable, RetryAfter: after}
}
