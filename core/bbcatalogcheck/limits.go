package bbcatalogcheck

import (
	"bluebellhall/core/bbfinding"
)

// A prompt's request has its ID, model, key, token counts, and the parts of the prompt with a hash each: about 2 KB
// with ten parts.
const promptHeaderBytes = 2000

// bytesPerToken is the usual size of one token of a prompt as text.
const bytesPerToken = 4

var limitChecks = []check{
	{
		code:     "limit-negative",
		severity: bbfinding.SeverityError,
		limits: func(v *view, say say) {
			l := v.Catalog.Limits
			if l.HeaderBytes < 0 {
				say("headerBytes", "the limit of headers is %d bytes, not at least 0", l.HeaderBytes)
			}
			if l.BodyBytes < 0 {
				say("bodyBytes", "the limit of bodies is %d bytes, not at least 0", l.BodyBytes)
			}
			if l.HeaderTime < 0 || l.IdleTime < 0 {
				say("headerTime", "the times for headers of %v and for idle connections of %v are not at least 0", l.HeaderTime, l.IdleTime)
			}
		},
	},
	{
		code:     "limit-none",
		severity: bbfinding.SeverityWarning,
		limits: func(v *view, say say) {
			l := v.Catalog.Limits
			if l.HeaderBytes == 0 {
				say("headerBytes", "the limit of headers is 0, so their size isn't limited")
			}
			if l.BodyBytes == 0 {
				say("bodyBytes", "the limit of bodies is 0, so their size isn't limited")
			}
		},
	},
	{
		code:     "limit-no-time",
		severity: bbfinding.SeverityNote,
		limits: func(v *view, say say) {
			l := v.Catalog.Limits
			if l.HeaderTime == 0 {
				say("headerTime", "the time for headers is 0, so it isn't limited")
			}
			if l.IdleTime == 0 {
				say("idleTime", "the time of idle connections is 0, so it isn't limited")
			}
		},
	},
	{
		code:     "limit-prompt",
		severity: bbfinding.SeverityWarning,
		limits:   checkPromptLimits,
	},
	{
		code:     "idle-below-header",
		severity: bbfinding.SeverityWarning,
		limits: func(v *view, say say) {
			if l := v.Catalog.Limits; l.IdleTime > 0 && l.IdleTime < l.HeaderTime {
				say("idleTime", "the time of idle connections of %v is below the %v for headers", l.IdleTime, l.HeaderTime)
			}
		},
	},
}

// checkPromptLimits tells of limits below what a prompt needs that takes one slot's part of an engine's memory.
func checkPromptLimits(v *view, say say) {
	l := v.Catalog.Limits
	prompt := 0.0
	engines := false
	for _, s := range v.Catalog.Services {
		if e := s.Engine; e != nil && e.Slots > 0 && isFinite(e.Tokens) {
			engines = true
			prompt = max(prompt, bytesPerToken*e.Tokens/float64(e.Slots))
		}
	}
	if engines && l.HeaderBytes > 0 && l.HeaderBytes < promptHeaderBytes {
		say("headerBytes", "the limit of headers is %d bytes, but those of a prompt with ten parts have about %d",
			l.HeaderBytes, promptHeaderBytes)
	}
	if l.BodyBytes > 0 && float64(l.BodyBytes) < prompt {
		say("bodyBytes", "the limit of bodies is %d bytes, but a prompt that takes a slot's part of an engine's memory has about %.0f",
			l.BodyBytes, prompt)
	}
}
