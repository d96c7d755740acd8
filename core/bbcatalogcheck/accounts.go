package bbcatalogcheck

import (
	"slices"
)

var accountChecks = []check{
	{
		code:     "account-name",
		severity: SeverityError,
		account: func(v *view, i int, say say) {
			sayName(v.firstAccount, i, v.catalog.Accounts[i].Name, say)
		},
	},
	{
		code:     "account-key",
		severity: SeverityError,
		account:  checkKeys,
	},
	{
		code:     "account-priority",
		severity: SeverityError,
		account: func(v *view, i int, say say) {
			if a := v.catalog.Accounts[i]; a.Priority != nil && *a.Priority < 0 {
				say("priority", "the priority class is %d, but 0 is the most urgent", *a.Priority)
			}
		},
	},
	{
		code:     "account-no-keys",
		severity: SeverityWarning,
		account: func(v *view, i int, say say) {
			if len(v.catalog.Accounts[i].Keys) == 0 {
				say("keys", "the account has no key, so no request is its own")
			}
		},
	},
	{
		code:     "account-key-repeated",
		severity: SeverityWarning,
		account: func(v *view, i int, say say) {
			keys := v.catalog.Accounts[i].Keys
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
	for n, key := range v.catalog.Accounts[i].Keys {
		if key == "" {
			say("keys", "key %d is empty", n)
			continue
		}
		if k := v.firstKey[key]; k != i {
			say("keys", "key %d is also a key of entry %d, %q", n, k, v.catalog.Accounts[k].Name)
		}
	}
}
