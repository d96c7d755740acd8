package bbjob

import "bluebellhall/core/bbhash"

// MaxSharedParts bounds the parts of a prompt that SharedParts identifies. Prompts have a handful.
const MaxSharedParts = 32

// SharedParts returns a fingerprint for each part of the prompt that other requests to the service may have
// too: all but the last, which belongs to the request itself.
func (p Prompt) SharedParts(service string) []uint64 {
	n := min(len(p.Parts)-1, MaxSharedParts)
	if n <= 0 {
		return nil
	}
	parts := make([]uint64, 0, n)
	for _, part := range p.Parts[:n] {
		parts = append(parts, bbhash.Content([]byte(service), []byte(part.ID)))
	}
	return parts
}
