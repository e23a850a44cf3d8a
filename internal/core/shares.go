package core

import (
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/waiting"
	"robinpulley.example/robinpulley/internal/zoneshare"
)

// Shares gives where this node's new flows of each service go, by zone, for AffinityToken:
// by what the fleet knows of its load, or else by the table.
func (core *Core) Shares() map[lb.ServiceName]zoneshare.Parts {
	affinity, is := core.affinity.(*tokenAffinity)
	if !is || affinity.table == nil {
		return nil
	}
	shares := make(map[lb.ServiceName]zoneshare.Parts)
	for name, service := range affinity.table.Services() {
		shares[name] = service.Even()
		if known := affinity.shares[name]; known != nil {
			shares[name] = known.parts
		}
	}
	return shares
}

// WaitingBy gives how many openings are held by service and priority, for AffinityToken.
func (core *Core) WaitingBy() map[waiting.Level]int {
	affinity, is := core.affinity.(*tokenAffinity)
	if !is {
		return nil
	}
	return affinity.waiting.Levels()
}
