package bbfair

import "container/heap"

// link adds an item at the end of its flow.
func (q *Queue) link(item Item) {
	f := q.flowOf(item)
	e := &entry{
		item:     item,
		flow:     f,
		previous: f.last,
		dueIndex: -1,
	}
	if f.last == nil {
		f.first = e
	} else {
		f.last.next = e
	}
	f.last = e
	f.count++
	l := &q.levels[item.Priority]
	l.count++
	if f.index < 0 {
		f.start = max(f.start, l.virtualTime)
		heap.Push(&l.flows, f)
		l.weight += f.weight
	}
	l.weight += item.Weight - f.weight
	f.weight = item.Weight
	q.entries[item.Key] = e
	if item.Deadline != 0 {
		heap.Push(&q.due, e)
	}
}

// flowOf returns the flow of an item, which may be new or idle.
func (q *Queue) flowOf(item Item) *flow {
	key := flowKey{
		account:  item.Account,
		priority: item.Priority,
	}
	f, known := q.flows[key]
	if !known {
		f = &flow{
			key:    key,
			weight: item.Weight,
			index:  -1,
		}
		q.flows[key] = f
		return f
	}
	if f.index < 0 {
		q.idle--
	}
	return f
}

// unlink removes an entry from its flow, the index and the heap of deadlines. The start
// tag of the flow stays, so an item that leaves without being served costs nothing.
func (q *Queue) unlink(e *entry) {
	f := e.flow
	if e.previous == nil {
		f.first = e.next
	} else {
		e.previous.next = e.next
	}
	if e.next == nil {
		f.last = e.previous
	} else {
		e.next.previous = e.previous
	}
	f.count--
	l := &q.levels[f.key.priority]
	l.count--
	delete(q.entries, e.item.Key)
	if e.dueIndex >= 0 {
		heap.Remove(&q.due, e.dueIndex)
	}
	if f.count == 0 {
		q.markIdle(f)
	}
	if l.count == 0 {
		l.skippedFor = 0
	}
}

// markIdle makes a flow without items idle. It is kept while its start tag is ahead of the
// level's virtual time, so that an account which sends one item at a time doesn't get more
// than its share.
func (q *Queue) markIdle(f *flow) {
	l := &q.levels[f.key.priority]
	heap.Remove(&l.flows, f.index)
	l.weight -= f.weight
	q.idle++
	bound := max(q.limit, minIdle)
	if q.idle > bound {
		q.evictIdle(func(f *flow) bool { return f.start <= q.levels[f.key.priority].virtualTime })
	}
	if q.idle > bound {
		q.evictIdle(func(*flow) bool { return true })
	}
}

// evictIdle removes the idle flows that a condition selects. The lead over the virtual time
// that a removed flow loses is at most the cost of one item.
func (q *Queue) evictIdle(selected func(*flow) bool) {
	for key, f := range q.flows {
		if f.index < 0 && selected(f) {
			delete(q.flows, key)
			q.idle--
		}
	}
}

// victim returns the entry to evict for an item when the queue is full, or nil: the newest
// one of the flow returned by overShareFlow, else the newest one of the largest flow of the
// lowest level below the item's that holds more than its reserve (see reserveDivisor).
func (q *Queue) victim(item Item) *entry {
	if f := q.overShareFlow(item); f != nil {
		return f.last
	}
	for i := Levels - 1; i > item.Priority; i-- {
		if q.levels[i].count > q.limit/reserveDivisor {
			return largest(q.levels[i].flows).last
		}
	}
	return nil
}

// overShareFlow returns the flow with the most items by weight, if that is over its share
// of the queue by evictionFactor and the item's own flow stays within its share.
func (q *Queue) overShareFlow(item Item) *flow {
	weight := 0
	var worst *flow
	for i := range q.levels {
		weight += q.levels[i].weight
		if f := largest(q.levels[i].flows); f != nil && (worst == nil || f.load() > worst.load()) {
			worst = f
		}
	}
	count := 1
	key := flowKey{
		account:  item.Account,
		priority: item.Priority,
	}
	if f, known := q.flows[key]; known && f.index >= 0 {
		count += f.count
	} else {
		weight += item.Weight
	}
	share := float64(q.limit) / float64(weight)
	if worst == nil || worst.load() <= evictionFactor*share || float64(count) > share*float64(item.Weight) {
		return nil
	}
	return worst
}

// load returns the number of items divided by the weight.
func (f *flow) load() float64 {
	return float64(f.count) / float64(f.weight)
}

// largest returns the flow with the most items by weight, the first by account
// among equals, and nil when there is none.
func largest(flows []*flow) *flow {
	var best *flow
	for _, f := range flows {
		if best == nil || f.load() > best.load() || (f.load() == best.load() && f.key.account < best.key.account) {
			best = f
		}
	}
	return best
}

// flowHeap orders flows by start tag, then by account.
type flowHeap []*flow

// Len implements heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].key.account < h[j].key.account
}

// Swap implements heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}

// dueHeap orders entries by deadline, then by key.
type dueHeap []*entry

// Len implements heap.Interface.
func (h dueHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h dueHeap) Less(i, j int) bool {
	a, b := h[i].item, h[j].item
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.Key < b.Key
}

// Swap implements heap.Interface.
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].dueIndex = i
	h[j].dueIndex = j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	e := x.(*entry)
	e.dueIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.dueIndex = -1
	return e
}
