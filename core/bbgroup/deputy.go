package bbgroup

import "bluebellhall/core/bbhash"

// Deputy returns the entry VM ranked next after the owner in the rendezvous order of an
// endpoint's group, or "" when there is none.
func (l *Layout) Deputy(endpoint, domain string) string {
	owner, group := l.Owner(endpoint, domain)
	if group < 0 {
		return ""
	}
	hash := bbhash.Name(endpoint)
	best := ""
	var bestScore uint64
	for _, e := range l.Groups[group].active {
		if e.Member.Name == owner {
			continue
		}
		if score := bbhash.Score(e.hash, hash); best == "" || score > bestScore {
			best = e.Member.Name
			bestScore = score
		}
	}
	return best
}
