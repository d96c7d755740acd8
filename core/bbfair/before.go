package bbfair

import "math"

// CountBefore returns how many of the queued items would be served before a new item:
// those of higher levels, and those of its own level with earlier tags. Items that arrive
// later and the starvation limit of lower levels are not taken into account.
func (q *Queue) CountBefore(item Item) int {
	item = clamped(item)
	count := 0
	for i := range item.Priority {
		count += q.levels[i].count
	}
	l := &q.levels[item.Priority]
	own, known := q.flows[flowKey{
		account:  item.Account,
		priority: item.Priority,
	}]
	start := l.virtualTime
	if known {
		start = max(start, own.start+float64(own.count)*item.Cost/float64(own.weight))
	}
	for _, f := range l.flows {
		if f == own {
			count += f.count
			continue
		}
		count += f.countBefore(start, item)
	}
	return count
}

// countBefore returns how many items of the flow are served before an item of another
// account with the given start tag, if all have the cost of that item.
func (f *flow) countBefore(start float64, item Item) int {
	turns := (start - f.start) * float64(f.weight) / item.Cost
	if turns < 0 {
		return 0
	}
	first := math.Ceil(turns)
	if first == turns && f.key.account < item.Account {
		first++
	}
	return min(int(first), f.count)
}
