// Package runs holds the demo and the fault runs: each starts stand-ins and
// real balancers, puts them under load, makes something happen, and judges
// what callers and hosts have seen.
package runs

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lab/cluster"
	"robinpulley.example/robinpulley/internal/lb"
)

// The services of every run, after the sizes of a small installation.
const (
	serviceWallet   lb.ServiceName = "wallet"
	serviceDocVault lb.ServiceName = "docvault"
)

var (
	walletFrontend   = netip.MustParseAddrPort("192.0.2.1:443")
	docVaultFrontend = netip.MustParseAddrPort("[2001:db8::2]:443")
	zones            = []lb.Zone{"zone-a", "zone-b", "zone-c"}
)

// size is how large a run is.
type size struct {
	balancersPerZone int
	walletHosts      int
	docVaultHosts    int
	load             cluster.Load // of wallet; docvault gets the uploads
}

// world is a running cluster with both services under load.
type world struct {
	*cluster.Cluster
	size size
}

// startWorld starts everything and waits until the set-up is in force in all
// zones. The caller closes the world; after an error nothing is left running.
func startWorld(ctx context.Context, options cluster.Options, size size) (*world, error) {
	options.Zones = zones
	started, err := cluster.Start(ctx, options)
	running := &world{Cluster: started, size: size}
	if err == nil {
		err = running.setUp(ctx)
	}
	if err != nil {
		running.Close()
		return nil, err
	}
	return running, nil
}

func (running *world) setUp(ctx context.Context) error {
	revision, err := running.configure(ctx)
	if err != nil {
		return err
	}
	if err := running.startBalancers(ctx); err != nil {
		return err
	}
	_, err = running.Operator.InForce(ctx, revision, zones, time.Now())
	return err
}

// configure starts the hosts and writes services and back ends. It gives the
// revision of the last write.
func (running *world) configure(ctx context.Context) (int64, error) {
	for i := range running.size.walletHosts {
		if _, err := running.StartHost(ctx, serviceWallet, zones[i%len(zones)], walletFrontend); err != nil {
			return 0, err
		}
	}
	for i := range running.size.docVaultHosts {
		if _, err := running.StartHost(ctx, serviceDocVault, zones[i%len(zones)], docVaultFrontend); err != nil {
			return 0, err
		}
	}
	if _, err := running.Operator.PutService(ctx, service(serviceWallet, walletFrontend)); err != nil {
		return 0, err
	}
	return running.Operator.PutService(ctx, service(serviceDocVault, docVaultFrontend))
}

func service(name lb.ServiceName, frontend netip.AddrPort) catalog.Service {
	return catalog.Service{
		Name: name,
		Frontends: []lb.Frontend{
			{Address: frontend, Protocol: lb.TCP},
			{Address: frontend, Protocol: lb.UDP},
		},
		Selector: fmt.Sprintf("app=%s", name),
	}
}

func (running *world) startBalancers(ctx context.Context) error {
	for _, zone := range zones {
		for i := range running.size.balancersPerZone {
			if _, err := running.StartBalancer(ctx, fmt.Sprintf("%s-%d", zone, i+1), zone); err != nil {
				return err
			}
		}
	}
	for _, balancer := range running.Balancers {
		if err := running.Admit(ctx, balancer); err != nil {
			return err
		}
	}
	return nil
}

// startLoad starts the callers and waits until all long flows are open.
func (running *world) startLoad(ctx context.Context) error {
	load := running.size.load
	wallet := cluster.Load{
		Service: serviceWallet, Frontend: walletFrontend,
		Feeds: load.Feeds, UDPFlows: load.UDPFlows, TapRate: load.TapRate,
	}
	docVault := cluster.Load{Service: serviceDocVault, Frontend: docVaultFrontend, UploadRate: load.UploadRate}
	for _, each := range []cluster.Load{wallet, docVault} {
		if _, err := running.StartCaller(ctx, each); err != nil {
			return err
		}
	}
	return running.FeedsOpen(ctx, load.Feeds, load.UDPFlows)
}

// drain takes the label that the selector asks for from a host's back end and
// gives the revision of the change.
func (running *world) drain(ctx context.Context, host *cluster.Host) (int64, error) {
	changed := host.Backend
	changed.Labels = map[string]string{"app": "none"}
	return running.Operator.PutBackend(ctx, changed)
}

// undrain gives the label back.
func (running *world) undrain(ctx context.Context, host *cluster.Host) (int64, error) {
	return running.Operator.PutBackend(ctx, host.Backend)
}

// openedAfter counts the flows that a host opened after a time, and says how
// long after it the last one came.
func (running *world) openedAfter(ctx context.Context, host *cluster.Host, after time.Time) (late int, last time.Duration, err error) {
	report, err := running.HostReport(ctx, host)
	for _, at := range report.Openings {
		if at > after.UnixMilli() {
			late++
			last = max(last, time.UnixMilli(at).Sub(after))
		}
	}
	return late, last, err
}

// underLoad lets the load run for a time, or less when the context ends.
func underLoad(ctx context.Context, length time.Duration) error {
	select {
	case <-time.After(length):
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "under load")
	}
}
