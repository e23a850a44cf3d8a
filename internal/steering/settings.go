package steering

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Settings configures a Compiler. See DefaultSettings.
type Settings struct {
	Zone lb.Zone // of the balancer
	// LeaveLimit is the time after the deletion of a back end's entry from which on the back end
	// must get no new flows.
	LeaveLimit time.Duration
}

// DefaultSettings returns the default settings of a balancer in the zone.
func DefaultSettings(zone lb.Zone) Settings {
	return Settings{Zone: zone, LeaveLimit: 3 * time.Second}
}
