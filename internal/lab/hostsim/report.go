package hostsim

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"
)

// Report holds the host's counters since its start.
type Report struct {
	Host         string           `json:"host"`
	Service      string           `json:"service"`
	Runs         map[string]int   `json:"runs"`     // number of runs, by request id
	Openings     map[string]int64 `json:"openings"` // Unix time in ms of each opening, by client address
	WrongService int              `json:"wrong_service"`
	Resets       int              `json:"resets"` // resets sent for packets of unknown flows
	Shed         int              `json:"shed"`
	Expired      int              `json:"expired"`
	Cancelled    int              `json:"cancelled"`
	Malformed    int              `json:"malformed"`
	Flows        int              `json:"flows"` // number of present flows
}

// Health is the response of the health and load endpoint.
type Health struct {
	Healthy   bool `json:"healthy"`
	Load      int  `json:"load"`   // thousandths of capacity
	AgeMillis int  `json:"age_ms"` // age of the values
}

// HealthFaults configures how the endpoint returns wrong, late or no responses.
type HealthFaults struct {
	Drain         bool `json:"drain"`    // report unhealthy, but keep serving
	AlwaysHealthy bool `json:"lie"`      // always report healthy and idle
	Down          bool `json:"down"`     // respond with an error
	LagMillis     int  `json:"lag_ms"`   // maximum age of the reported values
	DelayMillis   int  `json:"delay_ms"` // delay of each response
}

// healthState holds the present faults and the cached health.
type healthState struct {
	faults   HealthFaults
	cached   Health
	cachedAt time.Time
}

// Report returns a copy of the host's report.
func (host *Host) Report() Report {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	report := host.report
	report.Runs = maps.Clone(host.report.Runs)
	report.Openings = maps.Clone(host.report.Openings)
	report.Flows = len(host.flows)
	return report
}

// Health returns the health and load that the host reports under the present faults.
func (host *Host) Health(now time.Time) Health {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	faults := host.health.faults
	if faults.AlwaysHealthy {
		return Health{Healthy: true}
	}
	lag := time.Duration(faults.LagMillis) * time.Millisecond
	if host.health.cachedAt.IsZero() || now.Sub(host.health.cachedAt) >= lag {
		load := max(len(host.jobs)*1000/host.settings.Slots, len(host.flows)*1000/host.settings.Conns)
		host.health.cached = Health{Healthy: !faults.Drain, Load: min(load, 1000)}
		host.health.cachedAt = now
	}
	served := host.health.cached
	served.AgeMillis = int(now.Sub(host.health.cachedAt).Milliseconds())
	return served
}

// Handler returns a handler for GET /health, GET /report and PUT /faults.
func (host *Host) Handler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /health", func(response http.ResponseWriter, _ *http.Request) {
		host.mutex.Lock()
		faults := host.health.faults
		host.mutex.Unlock()
		time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
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
