package lb

// TotalSlots sums up what back ends work on at once, by zone.
func TotalSlots(byZone map[Zone]float64) float64 {
	total := 0.0
	for _, slots := range byZone {
		total += slots
	}
	return total
}
