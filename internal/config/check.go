package config

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

// maxNameBytes is the maximum length of a node or zone name. Every membership message contains
// both.
const maxNameBytes = 63

// checker converts a document to Settings and collects all problems.
type checker struct {
	positions map[string]sourcePosition
	problems  Problems
}

func (checker *checker) addProblem(field, value, format string, arguments ...any) {
	problem := Problem{Field: field, Value: value, Text: fmt.Sprintf(format, arguments...)}
	if found, ok := checker.positions[field]; ok && found.value == value {
		problem.Line = found.line
	}
	checker.problems = append(checker.problems, problem)
}

// settings checks the whole document and returns the settings.
func (checker *checker) settings(raw *document) *Settings {
	settings := &Settings{
		Node:                 lb.NodeID(checker.name("node", raw.Node)),
		Zone:                 lb.Zone(checker.name("zone", raw.Zone)),
		Region:               raw.Region,
		Affinity:             checker.affinity("affinity", raw.Affinity),
		Admission:            checker.admission("admission", raw.Admission),
		AdmissionQueue:       checker.admissionQueue("waiting", raw.AdmissionQueue),
		DataAddress:          checker.address("data_address", raw.DataAddress),
		ControlAddress:       checker.address("control_address", raw.ControlAddress),
		AdminAddress:         checker.address("admin_address", raw.AdminAddress),
		FabricReplyAddresses: checker.replyAddresses("fabric_reply_addresses", raw),
		StoreEndpoints:       checker.endpoints("store_endpoints", raw.StoreEndpoints),
		Seeds:                checker.addresses("seeds", raw.Seeds),
		MachinesURL:          raw.MachinesURL,
		LogLevel:             checker.logLevel("log_level", raw.LogLevel),
		AllowFaultInjection:  raw.AllowFaultInjection,
		Limits:               checker.limits(raw.Limits),
		Timings:              checker.timings(raw.Timings),
		Health:               checker.health(raw.Health),
	}
	if raw.MachinesURL != "" {
		checker.url("machines_url", raw.MachinesURL)
	}
	checker.distinctListeners(settings)
	return settings
}

// name checks a node or zone name, which consists of letters, digits, '-', '_' and '.'.
func (checker *checker) name(field, value string) string {
	if value == "" {
		checker.addProblem(field, "", "is missing")
		return ""
	}
	if len(value) > maxNameBytes {
		checker.addProblem(field, value, "is longer than %d bytes", maxNameBytes)
		return ""
	}
	for _, letter := range value {
		if !isNameLetter(letter) {
			checker.addProblem(field, value, "has a character other than letters, digits, '-', '_' and '.'")
			return ""
		}
	}
	return value
}

func isNameLetter(letter rune) bool {
	switch {
	case letter >= 'a' && letter <= 'z', letter >= 'A' && letter <= 'Z', letter >= '0' && letter <= '9':
		return true
	}
	return letter == '-' || letter == '_' || letter == '.'
}

// address checks an IP address and port. The port must not be 0, and the address must not be the
// unspecified one.
func (checker *checker) address(field, value string) netip.AddrPort {
	if value == "" {
		checker.addProblem(field, "", "is missing")
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		checker.addProblem(field, value, "is not an IP address and port")
		return netip.AddrPort{}
	}
	if address.Port() == 0 {
		checker.addProblem(field, value, "has port 0")
	}
	if address.Addr().IsUnspecified() {
		checker.addProblem(field, value, "is an unspecified IP address; peers need a specific one")
	}
	return address
}

func (checker *checker) addresses(field string, values []string) []netip.AddrPort {
	result := make([]netip.AddrPort, 0, len(values))
	seen := map[netip.AddrPort]bool{}
	for index, value := range values {
		item := elementField(field, index)
		address := checker.address(item, value)
		if address.IsValid() && seen[address] {
			checker.addProblem(item, value, "is a duplicate")
			continue
		}
		seen[address] = true
		result = append(result, address)
	}
	return result
}

// affinity checks the name of an affinity.
func (checker *checker) affinity(field, value string) core.Affinity {
	switch affinity := core.Affinity(value); affinity {
	case core.AffinityChain, core.AffinityToken:
		return affinity
	}
	checker.addProblem(field, value, "is neither %s nor %s", core.AffinityChain, core.AffinityToken)
	return ""
}

// admissionQueue checks the mode of the admission queue.
func (checker *checker) admissionQueue(field, value string) AdmissionQueue {
	switch mode := AdmissionQueue(value); mode {
	case AdmissionQueuePriority, AdmissionQueueOff:
		return mode
	}
	checker.addProblem(field, value, "is neither %s nor %s", AdmissionQueuePriority, AdmissionQueueOff)
	return AdmissionQueueOff
}

// admission checks the mode of admission control.
func (checker *checker) admission(field, value string) Admission {
	switch mode := Admission(value); mode {
	case AdmissionAdaptive, AdmissionOff:
		return mode
	}
	checker.addProblem(field, value, "is neither %s nor %s", AdmissionAdaptive, AdmissionOff)
	return ""
}

// replyAddresses checks the fabric's addresses, which only the affinity "chain" requires.
func (checker *checker) replyAddresses(field string, raw *document) []netip.AddrPort {
	if raw.Affinity == string(core.AffinityToken) {
		return checker.addresses(field, raw.FabricReplyAddresses)
	}
	return checker.requiredAddresses(field, raw.FabricReplyAddresses)
}

// requiredAddresses checks a list of addresses that may not be empty.
func (checker *checker) requiredAddresses(field string, values []string) []netip.AddrPort {
	if len(values) == 0 {
		checker.addProblem(field, "", "is missing")
	}
	return checker.addresses(field, values)
}

func (checker *checker) endpoints(field string, values []string) []string {
	if len(values) == 0 {
		checker.addProblem(field, "", "is missing")
	}
	seen := map[string]bool{}
	for index, value := range values {
		item := elementField(field, index)
		checker.url(item, value)
		if seen[value] {
			checker.addProblem(item, value, "is a duplicate")
		}
		seen[value] = true
	}
	return values
}

func (checker *checker) url(field, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		checker.addProblem(field, value, "is not an http or https URL")
	}
}

func (checker *checker) logLevel(field, value string) string {
	switch value {
	case zerolog.LevelDebugValue, zerolog.LevelInfoValue, zerolog.LevelWarnValue, zerolog.LevelErrorValue:
		return value
	}
	checker.addProblem(field, value, "is none of debug, info, warn, error")
	return ""
}

func (checker *checker) limits(raw limitsDocument) Limits {
	checker.positive("limits.control_bytes_per_second", raw.ControlBytesPerSecond)
	checker.positive("limits.pin_bytes_per_second", raw.PinBytesPerSecond)
	if raw.PinBytesPerSecond > raw.ControlBytesPerSecond {
		checker.addProblem("limits.pin_bytes_per_second", strconv.Itoa(raw.PinBytesPerSecond),
			"exceeds limits.control_bytes_per_second, %d", raw.ControlBytesPerSecond)
	}
	checker.nonNegative("limits.cold_overage", raw.ColdOverage)
	checker.nonNegative("limits.cold_slack", raw.ColdSlack)
	return Limits(raw)
}

func (checker *checker) positive(field string, value int) {
	if value <= 0 {
		checker.addProblem(field, strconv.Itoa(value), "is not above 0")
	}
}

func (checker *checker) nonNegative(field string, value float64) {
	if !(value >= 0) || math.IsInf(value, 0) {
		checker.addProblem(field, strconv.FormatFloat(value, 'g', -1, 64), "is not a number of 0 or more")
	}
}

func (checker *checker) timings(raw timingsDocument) Timings {
	timings := Timings{
		OpeningHold:     checker.duration("timings.opening_hold", raw.OpeningHold),
		IdleTimeout:     checker.duration("timings.idle_timeout", raw.IdleTimeout),
		PinLifetime:     checker.duration("timings.pin_lifetime", raw.PinLifetime),
		PrepareLimit:    checker.duration("timings.prepare_limit", raw.PrepareLimit),
		ChangeLimit:     checker.duration("timings.change_limit", raw.ChangeLimit),
		LeaveLimit:      checker.duration("timings.leave_limit", raw.LeaveLimit),
		EvacuationLimit: checker.duration("timings.evacuation_limit", raw.EvacuationLimit),
		PauseLimit:      checker.duration("timings.pause_limit", raw.PauseLimit),
		RetryAfter:      checker.duration("timings.retry_after", raw.RetryAfter),
		DrainGrace:      checker.duration("timings.drain_grace", raw.DrainGrace),
		DrainLimit:      checker.duration("timings.drain_limit", raw.DrainLimit),
	}
	checker.atMost("timings.pin_lifetime", raw.PinLifetime, timings.PinLifetime, "timings.idle_timeout", timings.IdleTimeout)
	checker.atMost("timings.opening_hold", raw.OpeningHold, timings.OpeningHold, "timings.idle_timeout", timings.IdleTimeout)
	checker.atMost("timings.drain_grace", raw.DrainGrace, timings.DrainGrace, "timings.drain_limit", timings.DrainLimit)
	return timings
}

func (checker *checker) health(raw healthDocument) Health {
	health := Health{
		Enabled:  raw.Enabled,
		Interval: checker.duration("health.interval", raw.Interval),
		Timeout:  checker.duration("health.timeout", raw.Timeout),
	}
	checker.atMost("health.timeout", raw.Timeout, health.Timeout, "health.interval", health.Interval)
	return health
}

func (checker *checker) duration(field, value string) time.Duration {
	duration, err := time.ParseDuration(value)
	if err != nil {
		checker.addProblem(field, value, "is not a duration such as 300ms or 60s")
		return 0
	}
	if duration <= 0 {
		checker.addProblem(field, value, "is not above 0")
		return 0
	}
	return duration
}

// atMost adds a problem if the duration exceeds the bound, which is the value of another field.
func (checker *checker) atMost(field, value string, duration time.Duration, boundField string, bound time.Duration) {
	if duration > 0 && bound > 0 && duration > bound {
		checker.addProblem(field, value, "exceeds %s, %s", boundField, bound)
	}
}

// distinctListeners reports two endpoints of this node on one address.
func (checker *checker) distinctListeners(settings *Settings) {
	seen := map[netip.AddrPort]string{}
	endpoints := []struct {
		field   string
		address netip.AddrPort
	}{
		{"data_address", settings.DataAddress},
		{"control_address", settings.ControlAddress},
		{"admin_address", settings.AdminAddress},
	}
	for _, endpoint := range endpoints {
		if !endpoint.address.IsValid() {
			continue
		}
		if other, taken := seen[endpoint.address]; taken {
			checker.addProblem(endpoint.field, endpoint.address.String(), "is a duplicate of %s", other)
		}
		seen[endpoint.address] = endpoint.field
	}
}

func elementField(field string, index int) string {
	return field + "[" + strconv.Itoa(index) + "]"
}
