package hostsim

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"
)

// Report is what the host has seen since its start.
type Report struct {
	Host         string           `json:"host"`
	Service      string           `json:"service"`
	Runs         map[string]int   `json:"runs"`     // times each request ran
	Openings     map[string]int64 `json:"openings"` // when each flow opened (Unix ms), by caller's address
	WrongService int              `json:"wrong_service"`
	Resets       int              `json:"resets"` // packets of unknown flows
	Shed         int              `json:"shed"`
	Expired      int              `json:"expired"`
	Cancelled    int              `json:"cancelled"`
	Malformed    int              `json:"malformed"`
	Flows        int              `json:"flows"` // open now
}

// Health is the answer of the health and load endpoint.
type Health struct {
	Healthy   bool `json:"healthy"`
	Load      int  `json:"load"`   // thousandths of capacity
	AgeMillis int  `json:"age_ms"` // how old the values are
}

// HealthFaults say how the endpoint misleads.
type HealthFaults struct {
	Drain   bool `json:"drain"`    // says unhealthy, serves on
	Lie     bool `json:"lie"`      // says healthy and idle whatever the truth is
	Down    bool `json:"down"`     // answers an error
	LagMs   int  `json:"lag_ms"`   // serves values this old
	DelayMs int  `json:"delay_ms"` // answers late
}

// healthState is the faults and the last value served.
type healthState struct {
	faults   HealthFaults
	cached   Health
	cachedAt time.Time
}

// Report gives a copy of what the host has seen.
func (host *Host) Report() Report {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	report := host.report
	report.Runs = maps.Clone(host.report.Runs)
	report.Openings = maps.Clone(host.report.Openings)
	report.Flows = len(host.flows)
	return report
}

// Health gives health and load, as the faults have it.
func (host *Host) Health(now time.Time) Health {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	faults := host.health.faults
	if faults.Lie {
		return Health{Healthy: true}
	}
	lag := time.Duration(faults.LagMs) * time.Millisecond
	if host.health.cachedAt.IsZero() || now.Sub(host.health.cachedAt) >= lag {
		load := max(len(host.jobs)*1000/host.settings.Slots, len(host.flows)*1000/host.settings.Conns)
		host.health.cached = Health{Healthy: !faults.Drain, Load: min(load, 1000)}
		host.health.cachedAt = now
	}
	served := host.health.cached
	served.AgeMillis = int(now.Sub(host.health.cachedAt).Milliseconds())
	return served
}

// Handler serves GET /health, GET /report and PUT /faults.
func (host *Host) Handler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /health", func(response http.ResponseWriter, _ *http.Request) {
		host.mutex.Lock()
		faults := host.health.faults
		host.mutex.Unlock()
		time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
		if faults.Down {
			http.Error(response, "down", http.StatusServiceUnavailable)
			return
		}
		_ = json.NewEncoder(response).Encode(host.Health(time.Now()))
	})
	routes.HandleFunc("GET /report", func(response http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(response).Encode(host.Report())
	})
	routes.HandleFunc("PUT /faults", func(response http.ResponseWriter, request *http.Request) {
		var faults HealthFaults
		if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
			http.Error(response, err.Error(), http.StatusBadRequest)
			return
		}
		host.mutex.Lock()
		host.health.faults = faults
		host.mutex.Unlock()
	})
	return routes
}
