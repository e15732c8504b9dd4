package claims

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// settleMessage tells a shard how a claim ended.
type settleMessage struct {
	settle message.ClaimSettle
}

func (m settleMessage) apply(s *Shard) { s.set.Settle(time.Now(), m.settle) }
