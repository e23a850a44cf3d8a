// Package runs implements the demo and the fault runs. Each run starts simulated components and
// real balancers, puts them under load, injects faults or changes, and checks the guarantees
// against the reports of clients and hosts.
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

// The services of every run, as in a small installation.
const (
	serviceWallet   lb.ServiceName = "wallet"
	serviceDocVault lb.ServiceName = "docvault"
)

var (
	walletFrontend   = netip.MustParseAddrPort("192.0.2.1:443")
	docVaultFrontend = netip.MustParseAddrPort("[2001:db8::2]:443")
	zones            = []lb.Zone{"zone-a", "zone-b", "zone-c"}
)

// size is the size of a run.
type size struct {
	balancersPerZone int
	walletHosts      int
	docVaultHosts    int
	load             cluster.Load // load of wallet, except that the uploads go to docvault
}

// environment is a running cluster with both services.
type environment struct {
	*cluster.Cluster
	size size
}

// startEnvironment starts a cluster and waits until its configuration is in force in all zones. The
// caller must close the environment. After an error, no process is left running.
func startEnvironment(ctx context.Context, options cluster.Options, size size) (*environment, error) {
	options.Zones = zones
	started, err := cluster.Start(ctx, options)
	env := &environment{Cluster: started, size: size}
	if err == nil {
		err = env.setUp(ctx)
	}
	if err != nil {
		env.Close()
		return nil, err
	}
	return env, nil
}

func (env *environment) setUp(ctx context.Context) error {
	revision, err := env.configure(ctx)
	if err != nil {
		return err
	}
	if err := env.startBalancers(ctx); err != nil {
		return err
	}
	_, err = env.Operator.AwaitInForce(ctx, revision, zones, time.Now())
	return err
}

// configure starts the hosts and writes the services and back ends to the store. It returns the
// revision of the last write.
func (env *environment) configure(ctx context.Context) (int64, error) {
	for i := range env.size.walletHosts {
		if _, err := env.StartHost(ctx, serviceWallet, zones[i%len(zones)], walletFrontend); err != nil {
			return 0, err
		}
	}
	for i := range env.size.docVaultHosts {
		if _, err := env.StartHost(ctx, serviceDocVault, zones[i%len(zones)], docVaultFrontend); err != nil {
			return 0, err
		}
	}
	if _, err := env.Operator.PutService(ctx, newService(serviceWallet, walletFrontend)); err != nil {
		return 0, err
	}
	return env.Operator.PutService(ctx, newService(serviceDocVault, docVaultFrontend))
}

// newService returns a service with a TCP and a UDP front end at the address.
func newService(name lb.ServiceName, frontend netip.AddrPort) catalog.Service {
	return catalog.Service{
		Name: name,
		Frontends: []lb.Frontend{
			{Address: frontend, Protocol: lb.TCP},
			{Address: frontend, Protocol: lb.UDP},
		},
		Selector: fmt.Sprintf("app=%s", name),
	}
}

func (env *environment) startBalancers(ctx context.Context) error {
	for _, zone := range zones {
		for i := range env.size.balancersPerZone {
			if _, err := env.StartBalancer(ctx, fmt.Sprintf("%s-%d", zone, i+1), zone); err != nil {
				return err
			}
		}
	}
	for _, balancer := range env.Balancers {
		if err := env.Register(ctx, balancer); err != nil {
			return err
		}
	}
	return nil
}

// startLoad starts the clients and waits until all feeds and UDP flows are open.
func (env *environment) startLoad(ctx context.Context) error {
	load := env.size.load
	wallet := cluster.Load{
		Service: serviceWallet, Frontend: walletFrontend,
		Feeds: load.Feeds, UDPFlows: load.UDPFlows, TapRate: load.TapRate,
	}
	docVault := cluster.Load{Service: serviceDocVault, Frontend: docVaultFrontend, UploadRate: load.UploadRate}
	for _, serviceLoad := range []cluster.Load{wallet, docVault} {
		if _, err := env.StartClient(ctx, serviceLoad); err != nil {
			return err
		}
	}
	return env.AwaitLongFlows(ctx, load.Feeds, load.UDPFlows)
}

// drain changes the label of a host's back end so that the service's selector no longer matches,
// and returns the revision of the change.
func (env *environment) drain(ctx context.Context, host *cluster.Host) (int64, error) {
	backend := host.Backend
	backend.Labels = map[string]string{"app": "none"}
	return env.Operator.PutBackend(ctx, backend)
}

// undrain restores the label that drain changed, and returns the revision of the change.
func (env *environment) undrain(ctx context.Context, host *cluster.Host) (int64, error) {
	return env.Operator.PutBackend(ctx, host.Backend)
}

// openedAfter returns the number of flows that a host opened after the given time, and the delay of
// the last one since that time.
func (env *environment) openedAfter(ctx context.Context, host *cluster.Host, after time.Time) (late int, last time.Duration, err error) {
	report, err := env.HostReport(ctx, host)
	for _, openedMillis := range report.Openings {
		if openedMillis > after.UnixMilli() {
			late++
			last = max(last, time.UnixMilli(openedMillis).Sub(after))
		}
	}
	return late, last, err
}

// runLoadFor lets the load run for the given time. It returns an error if the context ends first.
func runLoadFor(ctx context.Context, length time.Duration) error {
	select {
	case <-time.After(length):
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait under load")
	}
}
