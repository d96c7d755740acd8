package bbroute

import "fmt"

// ExplanationLine explains the assessment of one candidate to operators.
type ExplanationLine struct {
	// Endpoint, Domain, Region and Owner are those of the candidate.
	Endpoint string `json:"endpoint"`
	Domain   string `json:"domain"`
	Region   string `json:"region"`
	Owner    string `json:"owner"`
	// Eligible is whether the endpoint may be chosen, and Verdict why or why not.
	Eligible bool   `json:"eligible"`
	Verdict  string `json:"verdict"`
	// Load is the number of requests in flight, queued or on their way, Window the limit.
	Load   int `json:"load"`
	Window int `json:"window"`
	// ScoreMillis is the expected delay, with costs converted to delay; 0 if not eligible.
	ScoreMillis float64 `json:"scoreMillis"`
	// Chosen is true for the endpoint that this choice picked.
	Chosen bool `json:"chosen"`
}

// Explain chooses like Choose and also returns a line for each candidate in their order.
func (r *Router) Explain(q *Query, candidates []Candidate) (Choice, []ExplanationLine) {
	choice := r.Choose(q, candidates)
	lines := make([]ExplanationLine, 0, len(candidates))
	for i := range candidates {
		c, a := &candidates[i], &r.assessments[i]
		lines = append(lines, ExplanationLine{
			Endpoint:    c.Name,
			Domain:      c.Domain,
			Region:      c.Region,
			Owner:       c.Owner,
			Eligible:    a.eligible(),
			Verdict:     a.verdict.String(),
			Load:        a.load,
			Window:      a.window,
			ScoreMillis: a.scoreMillis,
			Chosen:      i == choice.Index,
		})
	}
	return choice, lines
}

// String returns the line as text.
func (l ExplanationLine) String() string {
	mark := " "
	if l.Chosen {
		mark = "*"
	}
	text := fmt.Sprintf("%s %s (%s, owner %s): %s", mark, l.Endpoint, l.Domain, l.Owner, l.Verdict)
	if !l.Eligible {
		return text
	}
	return fmt.Sprintf("%s, %d of %d, expected delay %.1f ms", text, l.Load, l.Window, l.ScoreMillis)
}
