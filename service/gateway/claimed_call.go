package gateway

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/claim"
	"azuredyke.dev/azuredyke/transport/engine"
)

// maxStoredBodyBytes bounds the answer body that is stored with a claim. A longer body is dropped.
const maxStoredBodyBytes = 4 << 10

// runClaimed claims the idempotency key before the request is sent and records the outcome afterwards. For a key whose
// request has finished it returns the stored answer.
func (c *plainCall) runClaimed(caller, detached context.Context) (engine.Answer, *verdict.Error) {
	if claim.KeyExpired(c.idempotencyKey, c.server.options.ClaimRetention, time.Now()) {
		return engine.Answer{}, verdict.New(verdict.NotRun, verdict.ReasonClaimExpired,
			"the key is older than %s, for which claims are kept", c.server.options.ClaimRetention).
			WithField(headerIdempotencyKey)
	}
	key := claimKey(c.workspaceName, c.serviceName, c.idempotencyKey)
	claimCtx, cancel := context.WithTimeout(caller, c.server.options.ClaimTimeout)
	defer cancel()
	reply, err := c.server.Claimer.Claim(claimCtx, message.ClaimRequest{
		Key: key, Attempt: c.id, Fingerprint: c.requestHash,
	})
	if err != nil || reply.Status == message.ClaimUnavailable {
		// The claim may have been recorded even so. Nothing was sent, so it can be released.
		c.settle(detached, message.ClaimSettle{Key: key, Attempt: c.id, Released: true})
		return engine.Answer{}, verdict.New(verdict.NotRun, verdict.ReasonClaimRefused,
			"the request could not be recorded, so it was not sent").WithRetryAfter(max(reply.RetryAfter, retryElsewhereAfter))
	}
	switch reply.Status {
	case message.ClaimGranted:
		return c.sendClaimed(caller, detached, key)
	case message.ClaimFinished:
		return storedAnswer(reply.Outcome)
	case message.ClaimMismatch:
		return engine.Answer{}, verdict.New(verdict.NotRun, verdict.ReasonClaimConflict,
			"the key was used for another request").WithField(headerIdempotencyKey)
	default:
		return engine.Answer{}, verdict.New(verdict.MayHaveRun, verdict.ReasonClaimInProgress,
			"a request with this key is running or its outcome is not known").WithField(headerIdempotencyKey)
	}
}

// sendClaimed sends a request whose claim is durable.
func (c *plainCall) sendClaimed(caller, detached context.Context, key message.ClaimKey) (engine.Answer, *verdict.Error) {
	answer, err := c.runAttempts(caller, detached)
	switch {
	case err == nil:
		c.settle(detached, message.ClaimSettle{Key: key, Attempt: c.id, Outcome: outcomeOf(answer)})
		return answer, nil
	case err.Verdict == verdict.NotRun:
		c.settle(detached, message.ClaimSettle{Key: key, Attempt: c.id, Released: true})
	}
	return engine.Answer{}, err
}

// settle records the outcome of a claim or releases it. A claim that could not be settled stays in the state may-have-run,
// which is safe: the request is not repeated.
func (c *plainCall) settle(ctx context.Context, s message.ClaimSettle) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := c.server.Claimer.Settle(ctx, s); err != nil {
		c.server.log.Warn("claim not settled, its key stays in use", zap.String("request", c.id), zap.Error(err))
	}
}

// claimKey returns the key of a claim, a hash of its parts. The separator is a byte that none of the parts contains.
func claimKey(workspace, service, key string) message.ClaimKey {
	sum := sha256.Sum256([]byte(workspace + "\x00" + service + "\x00" + key))
	return message.ClaimKey(sum[:len(message.ClaimKey{})])
}

// outcomeOf returns the outcome to store for an answer.
func outcomeOf(a engine.Answer) *message.ClaimOutcome {
	o := &message.ClaimOutcome{Status: a.Status, ContentType: a.Header.Get("Content-Type")}
	if len(a.Body) > maxStoredBodyBytes {
		o.BodyDropped = true
		return o
	}
	o.Body = a.Body
	return o
}

// headerBodyDropped is set on a stored answer whose body was longer than maxStoredBodyBytes.
const headerBodyDropped = "Azuredyke-Body-Dropped"

func storedAnswer(o *message.ClaimOutcome) (engine.Answer, *verdict.Error) {
	h := http.Header{"Content-Type": {o.ContentType}, "Azuredyke-Stored": {"true"}}
	if o.BodyDropped {
		h.Set(headerBodyDropped, "true")
	}
	return engine.Answer{Status: o.Status, Header: h, Body: o.Body}, nil
}
