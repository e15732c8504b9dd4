package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// orderMessage submits an order.
type orderMessage struct {
	order Order
	fence uint64
	// reply receives false if the order is refused because of a stale fencing token.
	reply chan<- bool
}

// pendingOrder is an accepted order that takes effect at due.
type pendingOrder struct {
	order Order
	due   time.Time
}

func (m orderMessage) handle(t *task) {
	if !t.checkFence(m.fence) {
		m.reply <- false
		return
	}
	if m.fence < t.fence {
		t.stats.StaleOrdersApplied++
	}
	t.stats.Orders = append(t.stats.Orders, m.order)
	t.orders = append(t.orders, pendingOrder{order: m.order, due: time.Now().Add(t.options.OrderTime)})
	m.reply <- true
}

// checkFence records the highest fencing token received. It returns false if the engine refuses fence as stale.
func (t *task) checkFence(fence uint64) bool {
	if fence >= t.fence {
		t.fence = fence
		return true
	}
	if t.options.HonoursFencing {
		t.stats.RefusedStaleFence++
		return false
	}
	return true
}

// applyOrders applies the orders that are due.
func (t *task) applyOrders(now time.Time) {
	var pending []pendingOrder
	for _, p := range t.orders {
		if now.Before(p.due) {
			pending = append(pending, p)
			continue
		}
		switch p.order.Action {
		case OrderLoad:
			t.models[p.order.modelName()] = struct{}{}
		case OrderUnload:
			delete(t.models, p.order.modelName())
		case OrderRole:
			t.role = p.order.Role
		}
	}
	t.orders = pending
}

// serveOrder serves POST /orders. It answers 202 before the order takes effect; load reports show its effect.
func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&order); err != nil || !order.valid() {
		writeError(w, http.StatusBadRequest, "not an order")
		return
	}
	fence, ok := parseFence(w, r)
	if !ok {
		return
	}
	accepted := ask(s, r, func(reply chan<- bool) message { return orderMessage{order: order, fence: fence, reply: reply} })
	if !accepted {
		writeStaleFence(w)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}
