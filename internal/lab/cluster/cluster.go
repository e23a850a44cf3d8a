package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"robinpulley.example/robinpulley/internal/lab/storesim"
	"robinpulley.example/robinpulley/internal/lb"
)

// Options configures a cluster.
type Options struct {
	Binaries  string // directory of the programs robinpulley, robinctl and robinlab
	Directory string // for logs and settings files
	Zones     []lb.Zone
	// FabricFlags holds additional flags of robinlab fabric.
	FabricFlags []string
	// Timings overrides the default timings of the balancers.
	Timings Timings
	// ProbeHosts enables the health probes of the balancers.
	ProbeHosts bool
	// StallLimit is the maximum time without progress of an open flow. Zero selects the default of
	// the clients.
	StallLimit time.Duration
}

// Timings holds the timings of the balancers that a cluster can override.
type Timings struct {
	IdleTimeout string `yaml:"idle_timeout,omitempty"`
	PinLifetime string `yaml:"pin_lifetime,omitempty"`
	OpeningHold string `yaml:"opening_hold,omitempty"`
	DrainGrace  string `yaml:"drain_grace,omitempty"`
	DrainLimit  string `yaml:"drain_limit,omitempty"`
}

// Cluster is a set of running processes: a store, a fabric, balancers, hosts and clients. Close
// stops them all.
type Cluster struct {
	options       Options
	StoreURL      string
	fabricAddress string // UDP address
	fabricAdmin   string // HTTP address
	Operator      *Operator

	mutex     sync.Mutex
	processes []*Process
	Balancers []*Balancer
	Hosts     []*Host
	Clients   []*Client
}

// Balancer is one balancer process.
type Balancer struct {
	*Process
	Node         lb.NodeID
	Zone         lb.Zone
	AdminAddress string // HTTP address
	machine      storesim.Machine
}

// Start starts the store and the fabric. The caller must call Close, even after an error.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	cluster := &Cluster{options: options}
	if err := os.MkdirAll(options.Directory, 0o755); err != nil {
		return cluster, errors.Wrapf(err, "create directory %q", options.Directory)
	}
	storeAddress, err := FreeAddress()
	if err != nil {
		return cluster, err
	}
	cluster.StoreURL = "http://" + storeAddress
	if cluster.fabricAddress, err = FreeAddress(); err != nil {
		return cluster, err
	}
	if cluster.fabricAdmin, err = FreeAddress(); err != nil {
		return cluster, err
	}
	store, err := cluster.startLab("store", "store", "--listen", storeAddress)
	if err != nil {
		return cluster, err
	}
	if err := store.AwaitServing(ctx, cluster.machinesURL()); err != nil {
		return cluster, err
	}
	flags := []string{"fabric", "--listen", cluster.fabricAddress, "--admin", cluster.fabricAdmin, "--machines", cluster.machinesURL()}
	fabric, err := cluster.startLab("fabric", append(flags, options.FabricFlags...)...)
	if err != nil {
		return cluster, err
	}
	if err := fabric.AwaitServing(ctx, "http://"+cluster.fabricAdmin+"/counters"); err != nil {
		return cluster, err
	}
	cluster.Operator, err = newOperator(cluster.StoreURL)
	return cluster, err
}

func (cluster *Cluster) machinesURL() string { return cluster.StoreURL + "/machines" }

// Close stops every process that the cluster has started, by its process ID.
func (cluster *Cluster) Close() {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	var stopping sync.WaitGroup
	for _, process := range cluster.processes {
		stopping.Go(process.Stop)
	}
	stopping.Wait()
}

func (cluster *Cluster) start(name, program string, arguments ...string) (*Process, error) {
	process, err := StartProcess(cluster.options.Directory, name, filepath.Join(cluster.options.Binaries, program), arguments...)
	if err != nil {
		return nil, err
	}
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.processes = append(cluster.processes, process)
	return process, nil
}

func (cluster *Cluster) startLab(name string, arguments ...string) (*Process, error) {
	return cluster.start(name, "robinlab", arguments...)
}

// settings is the content of a balancer's settings file.
type settings struct {
	Node                string         `yaml:"node"`
	Zone                lb.Zone        `yaml:"zone"`
	DataAddress         string         `yaml:"data_address"`
	ControlAddress      string         `yaml:"control_address"`
	AdminAddress        string         `yaml:"admin_address"`
	FabricReply         []string       `yaml:"fabric_reply_addresses"`
	StoreEndpoints      []string       `yaml:"store_endpoints"`
	MachinesURL         string         `yaml:"machines_url"`
	LogLevel            string         `yaml:"log_level"`
	AllowFaultInjection bool           `yaml:"allow_fault_injection"`
	Timings             Timings        `yaml:"timings"`
	Health              healthSettings `yaml:"health"`
}

type healthSettings struct {
	Enabled bool `yaml:"enabled"`
}

// StartBalancer starts a balancer process. Register adds it to the machine list.
func (cluster *Cluster) StartBalancer(ctx context.Context, name string, zone lb.Zone) (*Balancer, error) {
	var addresses [3]string
	for i := range addresses {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	file := settings{
		Node: name, Zone: zone,
		DataAddress: addresses[0], ControlAddress: addresses[1], AdminAddress: addresses[2],
		FabricReply: []string{cluster.fabricAddress}, StoreEndpoints: []string{cluster.StoreURL},
		MachinesURL: cluster.machinesURL(), LogLevel: "info",
		AllowFaultInjection: true, Timings: cluster.options.Timings,
		Health: healthSettings{Enabled: cluster.options.ProbeHosts},
	}
	text, err := yaml.Marshal(file)
	if err != nil {
		return nil, errors.Wrapf(err, "settings of %s", name)
	}
	path := filepath.Join(cluster.options.Directory, name+".yaml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, errors.Wrapf(err, "settings of %s", name)
	}
	process, err := cluster.start(name, "robinpulley", "run", "--config", path)
	if err != nil {
		return nil, err
	}
	balancer := &Balancer{
		Process: process, Node: lb.NodeID(name), Zone: zone, AdminAddress: addresses[2],
		machine: storesim.Machine{Node: lb.NodeID(name), Zone: zone, Control: addresses[1], Data: addresses[0]},
	}
	cluster.mutex.Lock()
	cluster.Balancers = append(cluster.Balancers, balancer)
	cluster.mutex.Unlock()
	return balancer, nil
}

// Register waits until the balancer is ready and adds it to the machine list.
func (cluster *Cluster) Register(ctx context.Context, balancer *Balancer) error {
	if err := balancer.AwaitServing(ctx, "http://"+balancer.AdminAddress+"/readyz"); err != nil {
		return err
	}
	return cluster.postMachine(ctx, balancer.machine)
}

func (cluster *Cluster) postMachine(ctx context.Context, machine storesim.Machine) error {
	return sendJSON(ctx, http.MethodPost, cluster.machinesURL(), machine)
}

// StopPlanned marks the balancer as leaving on the machine list, sends SIGTERM, waits until the
// process has ended and removes the balancer from the machine list.
func (cluster *Cluster) StopPlanned(ctx context.Context, balancer *Balancer) error {
	leaving := balancer.machine
	leaving.Leaving = true
	if err := cluster.postMachine(ctx, leaving); err != nil {
		return err
	}
	if err := balancer.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	code, err := balancer.Wait(ctx)
	if err != nil {
		return err
	}
	if code != 0 {
		return errors.Newf("%s ended its planned stop with exit code %d", balancer.Name, code)
	}
	return cluster.unregister(ctx, balancer)
}

// Kill sends SIGKILL to the balancer. The balancer stays on the machine list for the given lag, the
// time that the platform takes to detect a failed machine.
func (cluster *Cluster) Kill(ctx context.Context, balancer *Balancer, lag time.Duration) error {
	if err := balancer.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	if _, err := balancer.Wait(ctx); err != nil {
		return err
	}
	time.Sleep(lag)
	return cluster.unregister(ctx, balancer)
}

func (cluster *Cluster) unregister(ctx context.Context, balancer *Balancer) error {
	removed := balancer.machine
	removed.Deleted = true
	return cluster.postMachine(ctx, removed)
}

// Partition blocks the balancer's communication with the balancers of the given zones. Without any
// zone, it ends the partition.
func (balancer *Balancer) Partition(ctx context.Context, from ...lb.Zone) error {
	query := url.Values{}
	for _, zone := range from {
		query.Add("zone", string(zone))
	}
	return sendJSON(ctx, http.MethodPost, "http://"+balancer.AdminAddress+"/debug/cut?"+query.Encode(), nil)
}

// State is the part of a balancer's /debug/state that the fault runs evaluate.
type State struct {
	Watcher bool `json:"watcher"`
	Members []struct {
		ID   lb.NodeID
		Zone lb.Zone
	} `json:"members"`
	Versions map[lb.ServiceName]lb.Version `json:"versions"`
}

// State queries the balancer's state.
func (balancer *Balancer) State(ctx context.Context) (State, error) {
	var state State
	err := fetchJSON(ctx, "http://"+balancer.AdminAddress+"/debug/state", &state)
	return state, err
}

// SetStoreFaults sets the faults that the store injects.
func (cluster *Cluster) SetStoreFaults(ctx context.Context, faults storesim.Faults) error {
	return sendJSON(ctx, http.MethodPut, cluster.StoreURL+"/faults", faults)
}

// sendJSON sends a value as JSON. A response status other than 2xx is an error.
func sendJSON(ctx context.Context, method, url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "%s %s", method, url)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "%s %s", method, url)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "%s %s", method, url)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1000))
		return errors.Newf("%s %s: status %s: %s", method, url, response.Status, text)
	}
	return nil
}

// fetchJSON gets a JSON document from a URL and decodes it into value.
func fetchJSON(ctx context.Context, url string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrapf(err, "GET %s", url)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "GET %s", url)
	}
	defer func() { _ = response.Body.Close() }()
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(value), "GET %s", url)
}

// seedFlag returns the flag that sets a seed of its own for the next process.
func (cluster *Cluster) seedFlag() string {
	return "--seed=" + strconv.Itoa(len(cluster.processes)+1)
}

// nextName returns the name of the next process of a kind, after count processes.
func nextName(kind string, count int) string { return fmt.Sprintf("%s-%d", kind, count+1) }
