package bbengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bluebellhall/bluebellfake/bbendpoint"
	"bluebellhall/core/bbmsg"
)

// serveEvents answers with the cache events after a sequence number.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after := int64(0)
	if text := r.URL.Query().Get("after"); text != "" {
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
			return
		}
		after = number
	}
	e.mu.Lock()
	events := e.cache.eventsAfter(after, time.Now())
	e.mu.Unlock()
	bbendpoint.WriteJSON(w, http.StatusOK, CacheEvents{Events: events})
}

// serveOrder takes an order.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order bbmsg.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bbendpoint.MaxBodyBytes)).Decode(&order); err != nil {
		http.Error(w, "order: "+err.Error(), http.StatusBadRequest)
		return
	}
	if status := e.applyOrder(order); status != http.StatusOK {
		http.Error(w, "order refused: "+http.StatusText(status), status)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// obey carries out an order and returns an HTTP status: 200, 409 for an old fencing
// number, 404 for an unknown model and 400 for an unknown kind.
func (e *Engine) applyOrder(order bbmsg.Order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing && order.Fence < e.fence {
		return http.StatusConflict
	}
	switch order.Kind {
	case bbmsg.OrderLoad:
		bytes, known := e.settings.Models[order.Argument]
		if !known {
			return http.StatusNotFound
		}
		e.startLoad(order.Argument, bytes)
	case bbmsg.OrderRole:
		e.role = order.Argument
	default:
		return http.StatusBadRequest
	}
	e.fence = max(e.fence, order.Fence)
	if len(e.orders) < maxOrders {
		e.orders = append(e.orders, order)
	}
	return http.StatusOK
}

// load replaces the model once its weights are here. The caller holds the lock.
func (e *Engine) startLoad(model string, bytes int64) {
	if e.Model() == model {
		return
	}
	e.loadGeneration++
	load := e.loadGeneration
	e.SetModel("")
	wait := time.Duration(0)
	if e.settings.Store != nil {
		wait = e.settings.Store.Reserve(bytes)
	}
	time.AfterFunc(wait, func() { e.finishLoad(load, model) })
}

// loaded ends a transfer of weights.
func (e *Engine) finishLoad(load int, model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if load != e.loadGeneration {
		return
	}
	e.cache.clear()
	e.TurnCold()
	e.SetModel(model)
}

// Orders returns the orders carried out.
func (e *Engine) Orders() []bbmsg.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]bbmsg.Order(nil), e.orders...)
}

// Role returns the role of the last role order.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}
