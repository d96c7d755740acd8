package bbcluster

import (
	"github.com/cockroachdb/errors"

	"bluebellhall/core/bbrule"
)

// regionsOf returns the region of each failure domain in the text of a rules file.
func regionsOf(text string) (map[string]string, error) {
	set, findings := bbrule.Parse(text)
	if len(findings) > 0 {
		return nil, errors.Newf("rules: %s and %d more", findings[0], len(findings)-1)
	}
	regions := make(map[string]string)
	for _, d := range set.Domains {
		regions[d.Name] = d.Region
	}
	return regions, nil
}
