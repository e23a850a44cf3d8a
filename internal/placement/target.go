package placement

import (
	"cmp"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/maglev"
)

// Targets gives the back ends of a generation, sorted by name. The index must
// be one of the document's generations.
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

// Moved counts the buckets on which two of the document's generations disagree.
func Moved(document *lb.Placement, first, second int) int {
	marks := disagreement([]*maglev.Table{
		generationTable(document, document.Generations[first].Backends),
		generationTable(document, document.Generations[second].Backends),
	})
	return marks.Count()
}
