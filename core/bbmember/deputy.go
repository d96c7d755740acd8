package bbmember

// Deputy returns the next after the owner in the rendezvous order of an endpoint's
// group, "" when there is none.
func (t *Table) Deputy(endpoint, domain string) string {
	if t.current == nil {
		return ""
	}
	return t.current.Deputy(endpoint, domain)
}

// DeputyNow tells whether this node may act for the owner of an endpoint now: it is the
// next in order, has lost the owner and knows of no newer list.
func (t *Table) ActsAsDeputy(endpoint, domain string) bool {
	owner := t.Owner(endpoint, domain)
	return owner != "" && !t.Alive(owner) && t.Seen() == t.Revision() &&
		t.Deputy(endpoint, domain) == t.settings.Self.Name
}
