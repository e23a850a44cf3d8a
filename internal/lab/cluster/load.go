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
	Backend      catalog.Backend
	AdminAddress string // HTTP address
}

// Client is one client process, which runs all clients of a service.
type Client struct {
	*Process
	AdminAddress string // HTTP address
}

// Load configures the load from one client process: the number of feeds and UDP flows that it keeps
// open, and the rates of its short requests ("taps") and uploads per second.
type Load struct {
	Service    lb.ServiceName
	Frontend   netip.AddrPort
	Feeds      int
	UDPFlows   int
	TapRate    float64
	UploadRate float64
}

// StartHost starts a host of a service and creates its back end in the store, with the label
// app=SERVICE.
func (cluster *Cluster) StartHost(ctx context.Context, service lb.ServiceName, zone lb.Zone, frontends ...netip.AddrPort) (*Host, error) {
	data, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	admin, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	name := nextName("host", len(cluster.Hosts))
	flags := []string{"host", "--name", name, "--service", string(service), "--listen", data, "--admin", admin, cluster.seedFlag()}
	for _, frontend := range frontends {
		flags = append(flags, "--frontends", frontend.String())
	}
	process, err := cluster.startLab(name, flags...)
	if err != nil {
		return nil, err
	}
	host := &Host{Process: process, AdminAddress: admin, Backend: catalog.Backend{
		Name: lb.BackendName(name), Host: netip.MustParseAddrPort(data), Zone: zone,
		Labels: map[string]string{"app": string(service)},
		Probe:  "http://" + admin + "/health",
	}}
	cluster.Hosts = append(cluster.Hosts, host)
	if err := process.AwaitServing(ctx, "http://"+admin+"/report"); err != nil {
		return nil, err
	}
	_, err = cluster.Operator.PutBackend(ctx, host.Backend)
	return host, err
}

// SetHealth sets the faults of the host's health and load endpoint.
func (host *Host) SetHealth(ctx context.Context, faults hostsim.HealthFaults) error {
	return sendJSON(ctx, http.MethodPut, "http://"+host.AdminAddress+"/faults", faults)
}

// StartClient starts the client process of a service.
func (cluster *Cluster) StartClient(ctx context.Context, load Load) (*Client, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	admin, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	name := nextName("caller", len(cluster.Clients))
	flags := []string{
		"caller", "--name", name, "--service", string(load.Service), "--frontend", load.Frontend.String(),
		"--fabric", cluster.fabricAddress, "--listen", listen, "--admin", admin, cluster.seedFlag(),
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
	client := &Client{Process: process, AdminAddress: admin}
	cluster.Clients = append(cluster.Clients, client)
	return client, process.AwaitServing(ctx, "http://"+admin+"/report")
}

// AwaitLongFlows waits until the clients have the given numbers of open feeds and UDP flows.
func (cluster *Cluster) AwaitLongFlows(ctx context.Context, feeds, udpFlows int) error {
	return WaitUntil(ctx, fmt.Sprintf("%d feeds and %d UDP flows are open", feeds, udpFlows), func() (bool, error) {
		reports, err := cluster.ClientReports(ctx)
		openFeeds, openUDP := 0, 0
		for _, report := range reports {
			openFeeds += report.Feeds
			openUDP += report.UDPFlows
		}
		return openFeeds >= feeds && openUDP >= udpFlows, err
	})
}

// StopClients makes the clients open no more flows and waits until all flows have ended.
func (cluster *Cluster) StopClients(ctx context.Context) error {
	for _, client := range cluster.Clients {
		if err := sendJSON(ctx, http.MethodPost, "http://"+client.AdminAddress+"/stop", nil); err != nil {
			return err
		}
	}
	return WaitUntil(ctx, "all flows of the clients have ended", func() (bool, error) {
		reports, err := cluster.ClientReports(ctx)
		open := 0
		for _, report := range reports {
			open += report.Open
		}
		return open == 0, err
	})
}

// ClientReports queries the reports of all clients.
func (cluster *Cluster) ClientReports(ctx context.Context) ([]clientsim.Report, error) {
	reports := make([]clientsim.Report, len(cluster.Clients))
	for i, client := range cluster.Clients {
		if err := fetchJSON(ctx, "http://"+client.AdminAddress+"/report", &reports[i]); err != nil {
			return nil, err
		}
	}
	return reports, nil
}

// HostReport queries the report of one host.
func (cluster *Cluster) HostReport(ctx context.Context, host *Host) (hostsim.Report, error) {
	var report hostsim.Report
	err := fetchJSON(ctx, "http://"+host.AdminAddress+"/report", &report)
	return report, err
}

// Verify queries all reports and checks the guarantees. The imbalance is computed without the
// drained hosts.
func (cluster *Cluster) Verify(ctx context.Context, drained ...*Host) (check.Result, error) {
	clients, err := cluster.ClientReports(ctx)
	if err != nil {
		return check.Result{}, err
	}
	hosts := make([]hostsim.Report, len(cluster.Hosts))
	for i, host := range cluster.Hosts {
		if hosts[i], err = cluster.HostReport(ctx, host); err != nil {
			return check.Result{}, err
		}
	}
	result := check.Verify(clients, hosts)
	serving := slices.DeleteFunc(hosts, func(report hostsim.Report) bool {
		return slices.ContainsFunc(drained, func(host *Host) bool { return host.Name == report.Host })
	})
	result.Imbalance = check.Imbalance(serving)
	return result, nil
}
