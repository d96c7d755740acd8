package bbmember

// Deputy returns the entry VM ranked next after the owner in the rendezvous order of an
// endpoint's group, or "" when there is none.
func (t *Table) Deputy(endpoint, domain string) string {
	if t.current == nil {
		return ""
	}
	return t.current.Deputy(endpoint, domain)
}

// ActsAsDeputy returns whether this node may act for the owner of an endpoint now: it is the
// endpoint's deputy, the owner counts as lost, and no newer list is known.
func (t *Table) ActsAsDeputy(endpoint, domain string) bool {
	owner := t.Owner(endpoint, domain)
	return owner != "" && !t.Alive(owner) && t.Seen() == t.Revision() &&
		t.Deputy(endpoint, domain) == t.settings.Self.Name
}
