package placement

import (
	"cmp"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
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
