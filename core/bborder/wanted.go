package bborder

import (
	"sort"

	"bluebellhall/core/bbrule"
)

// WantedModels returns the models used by the stages of any pipeline, sorted.
func WantedModels(set *bbrule.RuleSet) []string {
	seen := make(map[string]bool)
	for _, p := range set.Pipelines {
		for _, s := range p.Stages {
			if s.Model != "" {
				seen[s.Model] = true
			}
		}
	}
	names := make([]string, 0, len(seen))
	for name := range seen {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
