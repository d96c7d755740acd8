package bbdispatch

import "container/heap"

// line has the waiting requests of one route that can still be on time, or those that can't: a queue for each
// account, and the accounts by what they got.
type line struct {
	// less orders the requests of one account, due those of all accounts by the time at which they leave the line.
	less, due func(a, b *entry) bool
	byName    map[string]*accountQueue
	accounts  *indexedHeap[*accountQueue]
	// all has the requests of all accounts in the order of due.
	all *indexedHeap[*entry]
}

// accountQueue has the requests of one account in one line. It is never empty.
type accountQueue struct {
	usage    *usage
	requests *indexedHeap[*entry]
	index    int
}

// newLine returns a line in which the requests of an account are ordered by less.
func newLine(less, due func(a, b *entry) bool) *line {
	return &line{
		less:   less,
		due:    due,
		byName: make(map[string]*accountQueue),
		accounts: &indexedHeap[*accountQueue]{
			less:     func(a, b *accountQueue) bool { return a.usage.before(b.usage) },
			setIndex: func(q *accountQueue, i int) { q.index = i },
		},
		all: &indexedHeap[*entry]{
			less:     due,
			setIndex: func(e *entry, i int) { e.inLine = i },
		},
	}
}

// add queues a request for its account.
func (l *line) add(e *entry, u *usage) {
	q := l.byName[e.Account]
	if q == nil {
		q = &accountQueue{
			usage: u,
			requests: &indexedHeap[*entry]{
				less:     l.less,
				setIndex: func(e *entry, i int) { e.inQueue = i },
			},
		}
		l.byName[e.Account] = q
		heap.Push(l.accounts, q)
	}
	e.line, e.queue = l, q
	heap.Push(q.requests, e)
	heap.Push(l.all, e)
}

// remove removes a request.
func (l *line) remove(e *entry) {
	heap.Remove(l.all, e.inLine)
	heap.Remove(e.queue.requests, e.inQueue)
	if e.queue.requests.len() == 0 {
		heap.Remove(l.accounts, e.queue.index)
		delete(l.byName, e.Account)
	}
}

// first returns the next request of the account that got least, or nil.
func (l *line) first() *entry {
	if l.accounts.len() == 0 {
		return nil
	}
	return l.accounts.items[0].requests.items[0]
}

// earliest returns the first request of all accounts, or nil.
func (l *line) earliest() *entry {
	if l.all.len() == 0 {
		return nil
	}
	return l.all.items[0]
}

// fix restores the order after the usage of an account has changed.
func (l *line) fix(account string) {
	if q := l.byName[account]; q != nil {
		heap.Fix(l.accounts, q.index)
	}
}

// indexedHeap is a heap whose items know their position.
type indexedHeap[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(item T, i int)
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

// Len implements heap.Interface.
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	h.setIndex(item, len(h.items))
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	return item
}
