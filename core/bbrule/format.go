package bbrule

import (
	"fmt"
	"math"
	"strings"

	"bluebellhall/core/bbline"
)

// notStated is written as the comment of rules that were not parsed from a text.
const notStated = "not stated"

// Format writes the rules as a text that Parse parses to an equal set. All keys of
// the named rules are written; settings are written only if they were set or
// differ from the default.
func Format(set *RuleSet) string {
	var b strings.Builder
	put := func(askedBy, format string, arguments ...any) {
		if askedBy == "" {
			askedBy = notStated
		}
		fmt.Fprintf(&b, format, arguments...)
		fmt.Fprintf(&b, " # %s\n", askedBy)
	}
	for _, d := range set.Domains {
		put(d.AskedBy, "domain %s region=%s", d.Name, d.Region)
	}
	for _, s := range set.Services {
		put(s.AskedBy, "service %s kind=%s reports=%s", s.Name, s.Kind, yesOrNo(s.ReportsLoad))
	}
	for _, c := range set.Calls {
		put(c.AskedBy, "call %s/%s %s deadline=%s", c.Service, c.Path, repeatWord(c.Idempotent), c.Deadline)
	}
	for _, m := range set.Models {
		put(m.AskedBy, "model %s weight=%s", m.Name, bbline.FormatSize(m.WeightBytes))
	}
	for _, e := range set.Endpoints {
		put(e.AskedBy, "%s", formatEndpoint(e))
	}
	for _, p := range set.Pipelines {
		put(p.AskedBy, "pipeline %s stages=%s deadline=%s", p.Name, formatStages(p.Stages), p.Deadline)
	}
	for _, a := range set.Accounts {
		put(a.AskedBy, "account %s weight=%d priority=%d", a.Name, a.Weight, a.Priority)
	}
	for _, d := range set.Domains {
		if d.Out {
			put(d.OutAskedBy, "out %s", d.Name)
		}
	}
	for _, s := range settings(set.Limits) {
		if s.askedBy != "" || s.isChanged {
			put(s.askedBy, "%s", s.text)
		}
	}
	return b.String()
}

// setting is the line of one limit.
type setting struct {
	text    string
	askedBy string
	// isChanged is true when the value differs from the default.
	isChanged bool
}

// settings returns the lines of all limits.
func settings(l Limits) []setting {
	d := DefaultLimits()
	share := int64(math.Round(l.RetryShare * bbline.ShareUnits))
	cost := int64(math.Round(l.CrossRegionCost * bbline.CostUnits))
	return []setting{
		{
			text:      "limit body=" + bbline.FormatSize(l.BodyBytes),
			askedBy:   l.AskedBy.BodyBytes,
			isChanged: l.BodyBytes != d.BodyBytes,
		},
		{
			text:      "limit answer=" + l.AnswerTTL.String(),
			askedBy:   l.AskedBy.AnswerTTL,
			isChanged: l.AnswerTTL != d.AnswerTTL,
		},
		{
			text:      "retry share=" + bbline.FormatDecimal(share, bbline.ShareDecimals) + "%",
			askedBy:   l.AskedBy.RetryShare,
			isChanged: l.RetryShare != d.RetryShare,
		},
		{
			text:      "cost crossRegion=" + bbline.FormatDecimal(cost, bbline.CostDecimals),
			askedBy:   l.AskedBy.CrossRegionCost,
			isChanged: l.CrossRegionCost != d.CrossRegionCost,
		},
		{
			text:      "store rate=" + bbline.FormatSize(l.WeightStoreRate),
			askedBy:   l.AskedBy.WeightStoreRate,
			isChanged: l.WeightStoreRate != d.WeightStoreRate,
		},
	}
}

func formatEndpoint(e Endpoint) string {
	model := ""
	if e.Model != "" {
		model = " model=" + e.Model
	}
	return fmt.Sprintf("endpoint %s service=%s%s address=%s domain=%s warm=%d cold=%d fencing=%s",
		e.Name, e.Service, model, e.Address, e.Domain, e.WarmSlots, e.ColdSlots, yesOrNo(e.ChecksFencing))
}

func formatStages(stages []Stage) string {
	texts := make([]string, 0, len(stages))
	for _, s := range stages {
		texts = append(texts, s.String())
	}
	return strings.Join(texts, ",")
}

func yesOrNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func repeatWord(idempotent bool) string {
	if idempotent {
		return "idempotent"
	}
	return "once"
}
