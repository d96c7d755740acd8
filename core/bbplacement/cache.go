package bbplacement

import (
	"container/list"

	"bluebellhall/core/bbjob"
)

// prefixCache models the prompt parts in an engine's prefix cache, with least-recently-used eviction. The
// zero value is an empty cache.
type prefixCache struct {
	// entries has the list element of each part in order.
	entries map[partKey]*list.Element
	// order has the parts, the most recently used in front.
	order  *list.List
	tokens float64
}

// partKey identifies a prompt part for a model.
type partKey struct {
	model, id string
}

type cachedPart struct {
	key    partKey
	tokens float64
}

// parts returns the number of leading parts of a prompt that are cached without a gap.
func (c *prefixCache) parts(p bbjob.Prompt) int {
	for i, part := range p.Parts {
		if _, ok := c.entries[partKey{model: p.Model, id: part.ID}]; !ok {
			return i
		}
	}
	return len(p.Parts)
}

// add records that a prompt is processed, and evicts parts beyond the space in tokens.
func (c *prefixCache) add(p bbjob.Prompt, space float64) {
	if c.entries == nil {
		c.entries = make(map[partKey]*list.Element)
		c.order = list.New()
	}
	for _, part := range p.Parts {
		key := partKey{
			model: p.Model,
			id:    part.ID,
		}
		if e, ok := c.entries[key]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[key] = c.order.PushFront(cachedPart{
			key:    key,
			tokens: float64(part.Tokens),
		})
		c.tokens += float64(part.Tokens)
	}
	for c.tokens > space && c.order.Len() > 0 {
		last := c.order.Remove(c.order.Back()).(cachedPart)
		delete(c.entries, last.key)
		c.tokens -= last.tokens
	}
}
