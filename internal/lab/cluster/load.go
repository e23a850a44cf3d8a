package cluster

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lab/check"
	"robinpulley.example/robinpulley/internal/lab/clientsim"
	"robinpulley.example/robinpulley/internal/lab/hostsim"
	"robinpulley.example/robinpulley/internal/lb"
)

// Host is one back-end host process.
type Host struct {
	*Process
	Backend catalog.Backend
	Admin   string // HTTP address
}

// Caller is one caller process.
type Caller struct {
	*Process
	Admin string // HTTP address
}

// Load is what one caller process does.
type Load struct {
	Service    lb.ServiceName
	Frontend   netip.AddrPort
	Feeds      int
	UDPFlows   int
	TapRate    float64
	UploadRate float64
}

// StartHost starts a host of a service and creates its back end with the
// label app=SERVICE.
func (cluster *Cluster) StartHost(ctx context.Context, service lb.ServiceName, zone lb.Zone, frontends ...netip.AddrPort) (*Host, error) {
	data, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	admin, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	name := numbered("host", len(cluster.Hosts))
	flags := []string{"host", "--name", name, "--service", string(service), "--listen", data, "--admin", admin, cluster.seedFlag()}
	for _, frontend := range frontends {
		flags = append(flags, "--frontends", frontend.String())
	}
	process, err := cluster.startLab(name, flags...)
	if err != nil {
		return nil, err
	}
	host := &Host{Process: process, Admin: admin, Backend: catalog.Backend{
		Name: lb.BackendName(name), Host: netip.MustParseAddrPort(data), Zone: zone,
		Labels: map[string]string{"app": string(service)},
		Probe:  "http://" + admin + "/health",
	}}
	cluster.Hosts = append(cluster.Hosts, host)
	if err := process.Serves(ctx, "http://"+admin+"/report"); err != nil {
		return nil, err
	}
	_, err = cluster.Operator.PutBackend(ctx, host.Backend)
	return host, err
}

// SetHealth changes how the host's health and load endpoint misleads.
func (host *Host) SetHealth(ctx context.Context, faults hostsim.HealthFaults) error {
	return send(ctx, http.MethodPut, "http://"+host.Admin+"/faults", faults)
}

// StartCaller starts the callers of a service.
func (cluster *Cluster) StartCaller(ctx context.Context, load Load) (*Caller, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	admin, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	name := numbered("caller", len(cluster.Callers))
	flags := []string{
		"caller", "--name", name, "--service", string(load.Service), "--frontend", load.Frontend.String(),
		"--fabric", cluster.fabric, "--listen", listen, "--admin", admin, cluster.seedFlag(),
		fmt.Sprintf("--feeds=%d", load.Feeds), fmt.Sprintf("--udp-flows=%d", load.UDPFlows),
		fmt.Sprintf("--tap-rate=%g", load.TapRate), fmt.Sprintf("--upload-rate=%g", load.UploadRate),
	}
	if cluster.options.StallLimit > 0 {
		flags = append(flags, "--stall-limit", cluster.options.StallLimit.String())
	}
	process, err := cluster.startLab(name, flags...)
	if err != nil {
		return nil, err
	}
	caller := &Caller{Process: process, Admin: admin}
	cluster.Callers = append(cluster.Callers, caller)
	return caller, process.Serves(ctx, "http://"+admin+"/report")
}

// FeedsOpen waits until the callers have all their feeds and UDP flows answered.
func (cluster *Cluster) FeedsOpen(ctx context.Context, feeds, udpFlows int) error {
	return Until(ctx, fmt.Sprintf("%d feeds and %d UDP flows are open", feeds, udpFlows), func() (bool, error) {
		reports, err := cluster.CallerReports(ctx)
		openFeeds, openUDP := 0, 0
		for _, report := range reports {
			openFeeds += report.Feeds
			openUDP += report.UDPFlows
		}
		return openFeeds >= feeds && openUDP >= udpFlows, err
	})
}

// StopCallers has the callers open nothing more and waits until every flow has ended.
func (cluster *Cluster) StopCallers(ctx context.Context) error {
	for _, caller := range cluster.Callers {
		if err := send(ctx, http.MethodPost, "http://"+caller.Admin+"/stop", nil); err != nil {
			return err
		}
	}
	return Until(ctx, "the callers' flows have ended", func() (bool, error) {
		reports, err := cluster.CallerReports(ctx)
		open := 0
		for _, report := range reports {
			open += report.Open
		}
		return open == 0, err
	})
}

// CallerReports reads the reports of all callers.
func (cluster *Cluster) CallerReports(ctx context.Context) ([]clientsim.Report, error) {
	reports := make([]clientsim.Report, len(cluster.Callers))
	for i, caller := range cluster.Callers {
		if err := fetch(ctx, "http://"+caller.Admin+"/report", &reports[i]); err != nil {
			return nil, err
		}
	}
	return reports, nil
}

// HostReport reads the report of one host.
func (cluster *Cluster) HostReport(ctx context.Context, host *Host) (hostsim.Report, error) {
	var report hostsim.Report
	err := fetch(ctx, "http://"+host.Admin+"/report", &report)
	return report, err
}

// Check reads all reports and checks them. The imbalance leaves out the drained hosts.
func (cluster *Cluster) Check(ctx context.Context, drained ...*Host) (check.Result, error) {
	callers, err := cluster.CallerReports(ctx)
	if err != nil {
		return check.Result{}, err
	}
	hosts := make([]hostsim.Report, len(cluster.Hosts))
	for i, host := range cluster.Hosts {
		if hosts[i], err = cluster.HostReport(ctx, host); err != nil {
			return check.Result{}, err
		}
	}
	result := check.Run(callers, hosts)
	serving := slices.DeleteFunc(hosts, func(report hostsim.Report) bool {
		return slices.ContainsFunc(drained, func(host *Host) bool { return host.Name == report.Host })
	})
	result.Imbalance = check.Imbalance(serving)
	return result, nil
}
