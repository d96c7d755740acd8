package bbplacement

import (
	"container/list"

	"bluebellhall/core/bbjob"
)

// prefixCache is a guess of the prompt parts that an engine keeps, the least recently
// used first to go. The zero value keeps nothing.
type prefixCache struct {
	// kept has the place of each part in order.
	entries map[partKey]*list.Element
	// order has parts, the most recently used in front.
	order  *list.List
	tokens float64
}

// partKey names a part for a model.
type partKey struct {
	model, id string
}

type cachedPart struct {
	key    partKey
	tokens float64
}

// parts returns the number of parts at the start of a prompt that are kept without a gap.
func (c *prefixCache) parts(p bbjob.Prompt) int {
	for i, part := range p.Parts {
		if _, ok := c.entries[partKey{model: p.Model, id: part.ID}]; !ok {
			return i
		}
	}
	return len(p.Parts)
}

// prefix returns the tokens at the start of a prompt that are kept without a gap.
func (c *prefixCache) prefix(p bbjob.Prompt) float64 {
	kept := 0.0
	for _, part := range p.Parts[:c.parts(p)] {
		kept += float64(part.Tokens)
	}
	return min(kept, float64(p.Tokens))
}

// add notes that a prompt is read, and drops parts beyond the space in tokens.
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
