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

// Options say what a cluster is made of.
type Options struct {
	Binaries  string // directory of robinpulley, robinctl and robinlab
	Directory string // logs and settings files
	Zones     []lb.Zone
	// FabricFlags are further flags of robinlab fabric.
	FabricFlags []string
	// Timings override the balancers' timings.
	Timings Timings
	// Probe has the balancers probe the hosts.
	Probe bool
	// StallLimit is how long an open flow may be without progress; zero is
	// the callers' default.
	StallLimit time.Duration
}

// Timings are the balancers' timings that runs change.
type Timings struct {
	IdleTimeout string `yaml:"idle_timeout,omitempty"`
	PinLifetime string `yaml:"pin_lifetime,omitempty"`
	OpeningHold string `yaml:"opening_hold,omitempty"`
	DrainGrace  string `yaml:"drain_grace,omitempty"`
	DrainLimit  string `yaml:"drain_limit,omitempty"`
}

// Cluster is a set of running processes. Close ends them all.
type Cluster struct {
	options     Options
	StoreURL    string
	fabric      string // UDP
	fabricAdmin string // HTTP
	Operator    *Operator

	mutex     sync.Mutex
	processes []*Process
	Balancers []*Balancer
	Hosts     []*Host
	Callers   []*Caller
}

// Balancer is one balancer process.
type Balancer struct {
	*Process
	Node    lb.NodeID
	Zone    lb.Zone
	Admin   string // HTTP address
	machine storesim.Machine
}

// Start starts store and fabric. Close must be called also after an error.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	cluster := &Cluster{options: options}
	if err := os.MkdirAll(options.Directory, 0o755); err != nil {
		return cluster, errors.Wrapf(err, "directory %q", options.Directory)
	}
	storeAddress, err := FreeAddress()
	if err != nil {
		return cluster, err
	}
	cluster.StoreURL = "http://" + storeAddress
	if cluster.fabric, err = FreeAddress(); err != nil {
		return cluster, err
	}
	if cluster.fabricAdmin, err = FreeAddress(); err != nil {
		return cluster, err
	}
	store, err := cluster.startLab("store", "store", "--listen", storeAddress)
	if err != nil {
		return cluster, err
	}
	if err := store.Serves(ctx, cluster.machinesURL()); err != nil {
		return cluster, err
	}
	flags := []string{"fabric", "--listen", cluster.fabric, "--admin", cluster.fabricAdmin, "--machines", cluster.machinesURL()}
	fabric, err := cluster.startLab("fabric", append(flags, options.FabricFlags...)...)
	if err != nil {
		return cluster, err
	}
	if err := fabric.Serves(ctx, "http://"+cluster.fabricAdmin+"/counters"); err != nil {
		return cluster, err
	}
	cluster.Operator, err = newOperator(cluster.StoreURL)
	return cluster, err
}

func (cluster *Cluster) machinesURL() string { return cluster.StoreURL + "/machines" }

// Close ends every process that was started, by its process id.
func (cluster *Cluster) Close() {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	var ending sync.WaitGroup
	for _, process := range cluster.processes {
		ending.Go(process.End)
	}
	ending.Wait()
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

// settings is a balancer's settings file.
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

// StartBalancer starts a balancer and, once it is ready, puts it on the machine list.
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
		FabricReply: []string{cluster.fabric}, StoreEndpoints: []string{cluster.StoreURL},
		MachinesURL: cluster.machinesURL(), LogLevel: "info",
		AllowFaultInjection: true, Timings: cluster.options.Timings,
		Health: healthSettings{Enabled: cluster.options.Probe},
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
		Process: process, Node: lb.NodeID(name), Zone: zone, Admin: addresses[2],
		machine: storesim.Machine{Node: lb.NodeID(name), Zone: zone, Control: addresses[1], Data: addresses[0]},
	}
	cluster.mutex.Lock()
	cluster.Balancers = append(cluster.Balancers, balancer)
	cluster.mutex.Unlock()
	return balancer, nil
}

// Admit waits until the balancer is ready and puts it on the machine list.
func (cluster *Cluster) Admit(ctx context.Context, balancer *Balancer) error {
	if err := balancer.Serves(ctx, "http://"+balancer.Admin+"/readyz"); err != nil {
		return err
	}
	return cluster.post(ctx, balancer.machine)
}

func (cluster *Cluster) post(ctx context.Context, machine storesim.Machine) error {
	return send(ctx, http.MethodPost, cluster.machinesURL(), machine)
}

// StopPlanned announces the balancer as leaving, tells it to stop and waits for its end.
func (cluster *Cluster) StopPlanned(ctx context.Context, balancer *Balancer) error {
	leaving := balancer.machine
	leaving.Leaving = true
	if err := cluster.post(ctx, leaving); err != nil {
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
	return cluster.remove(ctx, balancer)
}

// Kill ends the balancer at once; the platform notices after the lag.
func (cluster *Cluster) Kill(ctx context.Context, balancer *Balancer, lag time.Duration) error {
	if err := balancer.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	if _, err := balancer.Wait(ctx); err != nil {
		return err
	}
	time.Sleep(lag)
	return cluster.remove(ctx, balancer)
}

func (cluster *Cluster) remove(ctx context.Context, balancer *Balancer) error {
	gone := balancer.machine
	gone.Gone = true
	return cluster.post(ctx, gone)
}

// Cut cuts the balancer off from the zones' balancers; none ends the cut.
func (balancer *Balancer) Cut(ctx context.Context, from ...lb.Zone) error {
	query := url.Values{}
	for _, zone := range from {
		query.Add("zone", string(zone))
	}
	return send(ctx, http.MethodPost, "http://"+balancer.Admin+"/debug/cut?"+query.Encode(), nil)
}

// State is the part of a balancer's /debug/state that runs look at.
type State struct {
	Watcher bool `json:"watcher"`
	Members []struct {
		ID   lb.NodeID
		Zone lb.Zone
	} `json:"members"`
	Versions map[lb.ServiceName]lb.Version `json:"versions"`
}

// State reads the balancer's state.
func (balancer *Balancer) State(ctx context.Context) (State, error) {
	var state State
	err := fetch(ctx, "http://"+balancer.Admin+"/debug/state", &state)
	return state, err
}

// SetStoreFaults changes how the store misbehaves.
func (cluster *Cluster) SetStoreFaults(ctx context.Context, faults storesim.Faults) error {
	return send(ctx, http.MethodPut, cluster.StoreURL+"/faults", faults)
}

// send sends a value as JSON and wants success as answer.
func send(ctx context.Context, method, url string, value any) error {
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

// fetch reads JSON.
func fetch(ctx context.Context, url string, value any) error {
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

// seedFlag gives a process its own seed.
func (cluster *Cluster) seedFlag() string {
	return "--seed=" + strconv.Itoa(len(cluster.processes)+1)
}

// numbered gives the name of the next process of a kind.
func numbered(kind string, count int) string { return fmt.Sprintf("%s-%d", kind, count+1) }
