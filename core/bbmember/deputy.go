package bbmember

// Deputy returns the next after the owner in the rendezvous order of an endpoint's
// group, "" when there is none.
func (t *Table) Deputy(endpoint, domain string) string {
	if t.current == nil {
		return ""
	}
	return t.current.Deputy(endpoint, domain)
}
