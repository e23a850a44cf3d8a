package config

import (
	"time"

	"robinpulley.example/robinpulley/internal/core"
)

// document is the content of the settings file, before its values are checked.
type document struct {
	Node                 string   `yaml:"node"`
	Zone                 string   `yaml:"zone"`
	Region               string   `yaml:"region"`
	Affinity             string   `yaml:"affinity"`
	Admission            string   `yaml:"admission"`
	AdmissionQueue       string   `yaml:"waiting"`
	DataAddress          string   `yaml:"data_address"`
	ControlAddress       string   `yaml:"control_address"`
	AdminAddress         string   `yaml:"admin_address"`
	FabricReplyAddresses []string `yaml:"fabric_reply_addresses"`
	StoreEndpoints       []string `yaml:"store_endpoints"`
	MachinesURL          string   `yaml:"machines_url"`
	Seeds                []string `yaml:"seeds"`
	LogLevel             string   `yaml:"log_level"`
	AllowFaultInjection  bool     `yaml:"allow_fault_injection"`

	Limits  limitsDocument  `yaml:"limits"`
	Timings timingsDocument `yaml:"timings"`
	Health  healthDocument  `yaml:"health"`
}

type limitsDocument struct {
	ControlBytesPerSecond int     `yaml:"control_bytes_per_second"`
	PinBytesPerSecond     int     `yaml:"pin_bytes_per_second"`
	ColdOverage           float64 `yaml:"cold_overage"`
	ColdSlack             float64 `yaml:"cold_slack"`
}

type timingsDocument struct {
	OpeningHold     string `yaml:"opening_hold"`
	IdleTimeout     string `yaml:"idle_timeout"`
	PinLifetime     string `yaml:"pin_lifetime"`
	PrepareLimit    string `yaml:"prepare_limit"`
	ChangeLimit     string `yaml:"change_limit"`
	LeaveLimit      string `yaml:"leave_limit"`
	EvacuationLimit string `yaml:"evacuation_limit"`
	PauseLimit      string `yaml:"pause_limit"`
	RetryAfter      string `yaml:"retry_after"`
	DrainGrace      string `yaml:"drain_grace"`
	DrainLimit      string `yaml:"drain_limit"`
}

type healthDocument struct {
	Enabled  bool   `yaml:"enabled"`
	Interval string `yaml:"interval"`
	Timeout  string `yaml:"timeout"`
}

// Defaults of the optional settings.
const (
	DefaultAdminAddress          = "127.0.0.1:9090"
	DefaultLogLevel              = "info"
	DefaultControlBytesPerSecond = 4096
	DefaultPinBytesPerSecond     = 3000
	DefaultColdOverage           = 1.0
	DefaultColdSlack             = 0.0
	DefaultOpeningHold           = 60 * time.Second
	DefaultIdleTimeout           = 300 * time.Second
	DefaultPinLifetime           = 60 * time.Second
	DefaultPrepareLimit          = 1500 * time.Millisecond
	DefaultChangeLimit           = 3 * time.Second
	DefaultLeaveLimit            = 3 * time.Second
	DefaultEvacuationLimit       = 3 * time.Second
	DefaultPauseLimit            = time.Second
	DefaultRetryAfter            = 500 * time.Millisecond
	DefaultDrainGrace            = 3 * time.Second
	DefaultDrainLimit            = 300 * time.Second
	DefaultHealthInterval        = 2 * time.Second
	DefaultHealthTimeout         = time.Second
)

// defaultDocument returns the default settings, which the settings file overrides.
func defaultDocument() document {
	return document{
		Affinity:       string(core.AffinityChain),
		Admission:      string(AdmissionAdaptive),
		AdmissionQueue: string(AdmissionQueuePriority),
		AdminAddress:   DefaultAdminAddress,
		LogLevel:       DefaultLogLevel,
		Limits: limitsDocument{
			ControlBytesPerSecond: DefaultControlBytesPerSecond,
			PinBytesPerSecond:     DefaultPinBytesPerSecond,
			ColdOverage:           DefaultColdOverage,
			ColdSlack:             DefaultColdSlack,
		},
		Timings: timingsDocument{
			OpeningHold:     DefaultOpeningHold.String(),
			IdleTimeout:     DefaultIdleTimeout.String(),
			PinLifetime:     DefaultPinLifetime.String(),
			PrepareLimit:    DefaultPrepareLimit.String(),
			ChangeLimit:     DefaultChangeLimit.String(),
			LeaveLimit:      DefaultLeaveLimit.String(),
			EvacuationLimit: DefaultEvacuationLimit.String(),
			PauseLimit:      DefaultPauseLimit.String(),
			RetryAfter:      DefaultRetryAfter.String(),
			DrainGrace:      DefaultDrainGrace.String(),
			DrainLimit:      DefaultDrainLimit.String(),
		},
		Health: healthDocument{
			Enabled:  true,
			Interval: DefaultHealthInterval.String(),
			Timeout:  DefaultHealthTimeout.String(),
		},
	}
}

// override replaces the file's values by the values of the flags that are set.
func (raw *document) override(flags Overrides) {
	overrideString(&raw.Node, flags.Node)
	overrideString(&raw.Zone, flags.Zone)
	overrideString(&raw.Region, flags.Region)
	overrideString(&raw.DataAddress, flags.DataAddress)
	overrideString(&raw.ControlAddress, flags.ControlAddress)
	overrideString(&raw.AdminAddress, flags.AdminAddress)
	overrideString(&raw.MachinesURL, flags.MachinesURL)
	overrideString(&raw.LogLevel, flags.LogLevel)
	overrideList(&raw.FabricReplyAddresses, flags.FabricReply)
	overrideList(&raw.StoreEndpoints, flags.StoreEndpoints)
	overrideList(&raw.Seeds, flags.Seeds)
	if flags.AllowFaultInjection {
		raw.AllowFaultInjection = true
	}
}

func overrideString(target *string, value string) {
	if value != "" {
		*target = value
	}
}

func overrideList(target *[]string, values []string) {
	if len(values) > 0 {
		*target = values
	}
}
