package placement

import (
	"cmp"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/maglev"
)

// Targets returns the back ends of a generation, sorted by name. The generation must be an index of
// the document's generations.
func Targets(document *lb.Placement, generation int) []Target {
	backends := document.Generations[generation].Backends
	targets := make([]Target, 0, len(backends))
	for _, weighted := range backends {
		placed, _ := findBackend(document.Backends, weighted.ID)
		targets = append(targets, Target{Name: placed.Name, Host: placed.Host, Weight: weighted.Weight})
	}
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	return targets
}

// CountMovedBuckets returns the number of buckets on which the tables of two lists of back ends
// disagree. All back ends must be in the document.
func CountMovedBuckets(document *lb.Placement, first, second []lb.WeightedBackend) int {
	marks := differingBuckets([]*maglev.Table{generationTable(document, first), generationTable(document, second)})
	return marks.Count()
}
