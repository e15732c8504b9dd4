package queue

import "time"

// defaultPromotionInterval promotes an item from the lowest to the highest class within 18 s.
const defaultPromotionInterval = 2 * time.Second

// Params configures a Queue.
type Params struct {
	// Max is the maximum number of waiting items.
	Max int
	// PromotionInterval is the time without service after which the oldest item of a workspace is promoted by one class;
	// 0 means 2 s.
	PromotionInterval time.Duration
}

func (p Params) effectivePromotionInterval() time.Duration {
	if p.PromotionInterval <= 0 {
		return defaultPromotionInterval
	}
	return p.PromotionInterval
}
