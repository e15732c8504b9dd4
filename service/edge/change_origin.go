package edge

import (
	"time"

	"go.uber.org/zap"
)

// sourceStore is the source of changes that the store itself sent. Other sources are the addresses of nodes.
const sourceStore = "store"

// changeOrigin says where changes of the store came from, for the log.
type changeOrigin struct {
	source string
	// took is the time from the request to the complete reply, without the time for which another node waited for a change. A reply of
	// the store includes the time for which the store waited.
	took time.Duration
}

func (o changeOrigin) fields() []zap.Field {
	return []zap.Field{zap.String("source", o.source), zap.Duration("took", o.took)}
}
