package claims

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// settleMessage reports the end of a claim to a shard.
type settleMessage struct {
	settle message.ClaimSettle
}

func (m settleMessage) apply(s *Shard) { s.set.Settle(time.Now(), m.settle) }
