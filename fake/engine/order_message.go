package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// orderMessage gives the task an order.
type orderMessage struct {
	order Order
	fence uint64
	// reply receives false when the fencing number is stale.
	reply chan<- bool
}

// pendingOrder is an order that takes effect when it is due.
type pendingOrder struct {
	order Order
	due   time.Time
}

func (m orderMessage) handle(t *task) {
	if !t.passFence(m.fence) {
		m.reply <- false
		return
	}
	if m.fence < t.fence {
		t.stats.StaleOrdersRun++
	}
	t.stats.Orders = append(t.stats.Orders, m.order)
	t.orders = append(t.orders, pendingOrder{order: m.order, due: time.Now().Add(t.options.OrderTime)})
	m.reply <- true
}

// passFence remembers the newest fencing number, and reports false when the engine refuses this one.
func (t *task) passFence(fence uint64) bool {
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

// carryOutOrders applies the orders that are due.
func (t *task) carryOutOrders(now time.Time) {
	var pending []pendingOrder
	for _, p := range t.orders {
		if now.Before(p.due) {
			pending = append(pending, p)
			continue
		}
		switch p.order.Action {
		case OrderLoad:
			t.models[p.order.name()] = struct{}{}
		case OrderUnload:
			delete(t.models, p.order.name())
		case OrderRole:
			t.role = p.order.Role
		}
	}
	t.orders = pending
}

// serveOrder serves POST /orders. The answer is 202; load reports show the effect.
func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&order); err != nil || !order.valid() {
		writeError(w, http.StatusBadRequest, "not an order")
		return
	}
	fence, ok := fenceOf(w, r)
	if !ok {
		return
	}
	accepted := ask(s, r, func(reply chan<- bool) message { return orderMessage{order: order, fence: fence, reply: reply} })
	if !accepted {
		refuseStaleFence(w)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}
