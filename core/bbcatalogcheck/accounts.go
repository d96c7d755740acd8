package bbcatalogcheck

import (
	"slices"

	"bluebellhall/core/bbfinding"
)

var accountChecks = []check{
	{
		code:     "account-name",
		severity: bbfinding.SeverityError,
		account: func(v *view, i int, say say) {
			sayName(v.FirstAccount, i, v.Catalog.Accounts[i].Name, say)
		},
	},
	{
		code:     "account-key",
		severity: bbfinding.SeverityError,
		account:  checkKeys,
	},
	{
		code:     "account-priority",
		severity: bbfinding.SeverityError,
		account: func(v *view, i int, say say) {
			if a := v.Catalog.Accounts[i]; a.Priority != nil && *a.Priority < 0 {
				say("priority", "the priority class is %d, but 0 is the most urgent", *a.Priority)
			}
		},
	},
	{
		code:     "account-no-keys",
		severity: bbfinding.SeverityWarning,
		account: func(v *view, i int, say say) {
			if len(v.Catalog.Accounts[i].Keys) == 0 {
				say("keys", "the account has no key, so no request is its own")
			}
		},
	},
	{
		code:     "account-key-repeated",
		severity: bbfinding.SeverityWarning,
		account: func(v *view, i int, say say) {
			keys := v.Catalog.Accounts[i].Keys
			for n, key := range keys {
				if k := slices.Index(keys, key); k < n {
					say("keys", "key %d is the same as key %d", n, k)
				}
			}
		},
	},
}

// checkKeys tells of keys that don't identify one account. Messages have the number of a key instead of the key, which
// is secret.
func checkKeys(v *view, i int, say say) {
	for n, key := range v.Catalog.Accounts[i].Keys {
		if key == "" {
			say("keys", "key %d is empty", n)
			continue
		}
		if k := v.FirstKey[key]; k != i {
			say("keys", "key %d is also a key of entry %d, %q", n, k, v.Catalog.Accounts[k].Name)
		}
	}
}
