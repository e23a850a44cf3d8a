package lb

// TotalSlots returns the sum, over all zones, of the slots of back ends. A slot is the capacity for
// one request at a time.
func TotalSlots(byZone map[Zone]float64) float64 {
	total := 0.0
	for _, slots := range byZone {
		total += slots
	}
	return total
}
