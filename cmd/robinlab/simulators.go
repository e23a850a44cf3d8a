package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/lab/clientsim"
	"robinpulley.example/robinpulley/internal/lab/fabricsim"
	"robinpulley.example/robinpulley/internal/lab/hostsim"
	"robinpulley.example/robinpulley/internal/lab/storesim"
	"robinpulley.example/robinpulley/internal/lab/wire"
	"robinpulley.example/robinpulley/internal/lb"
)

// headerTimeout is the maximum time for an HTTP client to send the header of a request.
const headerTimeout = 5 * time.Second

// serveHTTP serves HTTP on an address until the context ends.
func serveHTTP(ctx context.Context, logger *zerolog.Logger, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %q", address)
	}
	logger.Info().Str("address", listener.Addr().String()).Msg("listening")
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// storeCommand implements "robinlab store".
type storeCommand struct {
	Listen        string `help:"Address of the HTTP gateway." default:"127.0.0.1:2379"`
	Seed          uint64 `help:"Random seed for lost responses." default:"1"`
	DelayMs       int    `help:"Delay of each response, in milliseconds."`
	LostAnswers   int    `help:"Share of writes whose response is lost, in thousandths."`
	RatePerSecond int    `help:"Maximum rate of requests per second; 0 is unlimited."`
	MachineLagMs  int    `help:"Age of the machine list, in milliseconds."`
}

// Run serves the store until the context ends.
func (command *storeCommand) Run(ctx context.Context, logger *zerolog.Logger) error {
	faults := storesim.Faults{
		DelayMillis:      command.DelayMs,
		LostResponses:    command.LostAnswers,
		RatePerSecond:    command.RatePerSecond,
		MachineLagMillis: command.MachineLagMs,
	}
	return serveHTTP(ctx, logger, command.Listen, storesim.NewServer(faults, command.Seed))
}

// tickInterval is the time between two ticks of simulated hosts and clients.
const tickInterval = 5 * time.Millisecond

// listenUDP opens a UDP socket, which is closed when the context ends.
func listenUDP(ctx context.Context, address string) (*net.UDPConn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", address)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %q", address)
	}
	_ = socket.SetReadBuffer(socketBuffer) // the kernel may limit the size
	go func() {
		<-ctx.Done()
		_ = socket.Close()
	}()
	return socket, nil
}

// socketBuffer is the receive buffer of a UDP socket, in bytes.
const socketBuffer = 4 << 20

// runEvery calls step with the current time at the given interval until the context ends.
func runEvery(ctx context.Context, interval time.Duration, step func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			step(now)
		case <-ctx.Done():
			return
		}
	}
}

// fabricCommand implements "robinlab fabric".
type fabricCommand struct {
	Listen     string         `help:"UDP address for packets and refusals." default:"127.0.0.1:6081"`
	Admin      string         `help:"HTTP address for counters and faults." default:"127.0.0.1:6082"`
	Machines   string         `help:"URL of the machine list." required:""`
	Seed       uint64         `help:"Random seed." default:"1"`
	Loss       int            `help:"Share of packets that are lost, in thousandths."`
	Duplicate  int            `help:"Share of packets that are duplicated, in thousandths."`
	Reorder    int            `help:"Share of packets that are delayed and so reordered, in thousandths."`
	ReorderUs  int            `help:"Delay of reordered packets, in microseconds." default:"2000"`
	LeavingMs  int            `help:"Time for which a leaving balancer still receives packets, in milliseconds." default:"1000"`
	DelayUs    map[string]int `help:"Delay to the balancers of a zone, in microseconds: ZONE=N." mapsep:","`
	PollMillis int            `help:"Interval between reads of the machine list, in milliseconds." default:"200"`
}

// Run distributes packets over the balancers until the context ends.
func (command *fabricCommand) Run(ctx context.Context, logger *zerolog.Logger) error {
	socket, err := listenUDP(ctx, command.Listen)
	if err != nil {
		return err
	}
	faults := fabricsim.Faults{
		Loss:          command.Loss,
		Duplicate:     command.Duplicate,
		Reorder:       command.Reorder,
		ReorderMicros: command.ReorderUs,
		LeavingMillis: command.LeavingMs,
		DelayMicros:   map[lb.Zone]int{},
	}
	for zone, delay := range command.DelayUs {
		faults.DelayMicros[lb.Zone(zone)] = delay
	}
	fabric := fabricsim.New(faults, command.Seed, wire.SocketSender(socket))
	go wire.Serve(socket, fabric.Receive)
	go runEvery(ctx, time.Duration(command.PollMillis)*time.Millisecond, func(now time.Time) {
		machines, err := fetchMachines(ctx, command.Machines)
		if err != nil {
			logger.Warn().Err(err).Msg("reading the machine list failed")
			return
		}
		fabric.SetMachines(now, machines)
	})
	return serveHTTP(ctx, logger, command.Admin, fabric.Handler())
}

// fetchMachines reads the machine list at a URL.
func fetchMachines(ctx context.Context, url string) ([]storesim.Machine, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "machine list %q", url)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "machine list %q", url)
	}
	defer func() { _ = response.Body.Close() }()
	var machines []storesim.Machine
	err = json.NewDecoder(response.Body).Decode(&machines)
	return machines, errors.Wrapf(err, "machine list %q", url)
}

// hostCommand implements "robinlab host".
type hostCommand struct {
	Name      string   `help:"Name of the host in responses." required:""`
	Service   string   `help:"Name of the service in responses." required:""`
	Frontends []string `help:"Virtual addresses that the host serves." required:""`
	Listen    string   `help:"UDP address for Geneve." required:""`
	Admin     string   `help:"HTTP address for health, report and faults." required:""`
	Slots     int      `help:"Number of requests served concurrently." default:"2"`
	Queue     int      `help:"Maximum number of queued requests." default:"64"`
	Conns     int      `help:"Maximum number of flows." default:"2000"`
	RequestMs int      `help:"Service time of one request, in milliseconds." default:"5"`
	ColdMs    int      `help:"Duration of the cold start, in milliseconds." default:"0"`
	PushMs    int      `help:"Interval between messages on a feed, in milliseconds." default:"200"`
	Seed      uint64   `help:"Random seed of sequence numbers." default:"1"`
}

// Run serves flows until the context ends.
func (command *hostCommand) Run(ctx context.Context, logger *zerolog.Logger) error {
	socket, err := listenUDP(ctx, command.Listen)
	if err != nil {
		return err
	}
	settings := hostsim.Settings{
		Name: command.Name, Service: command.Service,
		Slots: command.Slots, Queue: command.Queue, Conns: command.Conns,
		ServiceTime:  time.Duration(command.RequestMs) * time.Millisecond,
		ColdStart:    time.Duration(command.ColdMs) * time.Millisecond,
		PushInterval: time.Duration(command.PushMs) * time.Millisecond,
		Seed:         command.Seed,
	}
	for _, text := range command.Frontends {
		frontend, err := netip.ParseAddrPort(text)
		if err != nil {
			return errors.Wrapf(err, "frontend %q", text)
		}
		settings.Frontends = append(settings.Frontends, frontend)
	}
	host := hostsim.New(time.Now(), settings, wire.SocketSender(socket))
	go wire.Serve(socket, func(datagram []byte) { host.Receive(time.Now(), datagram) })
	go runEvery(ctx, tickInterval, host.Tick)
	return serveHTTP(ctx, logger, command.Admin, host.Handler())
}

// callerCommand implements "robinlab caller", the simulated clients of one service.
type callerCommand struct {
	Name        string        `help:"Prefix of each request ID." default:"c"`
	Service     string        `help:"Name of the service that must respond." required:""`
	Frontend    string        `help:"Virtual address of the service." required:""`
	Fabric      string        `help:"UDP address of the fabric." required:""`
	Listen      string        `help:"UDP address on 127.0.0.1 for responses." required:""`
	Admin       string        `help:"HTTP address for the report." required:""`
	Feeds       int           `help:"Number of feeds to keep open."`
	UDPFlows    int           `help:"Number of UDP flows to keep open." name:"udp-flows"`
	TapRate     float64       `help:"Taps (short requests) per second."`
	UploadRate  float64       `help:"Uploads per second."`
	UploadBytes int           `help:"Size of an upload, in bytes." default:"50000"`
	StallLimit  time.Duration `help:"Time without progress after which an open flow counts as broken." default:"5s"`
	OpenLimit   time.Duration `help:"Timeout of an opening." default:"5s"`
	Seed        uint64        `help:"Random seed." default:"1"`
}

// Run opens flows until the context ends, and then prints its report as one JSON line.
func (command *callerCommand) Run(ctx context.Context, logger *zerolog.Logger) error {
	frontend, err := netip.ParseAddrPort(command.Frontend)
	if err != nil {
		return errors.Wrapf(err, "frontend %q", command.Frontend)
	}
	fabric, err := netip.ParseAddrPort(command.Fabric)
	if err != nil {
		return errors.Wrapf(err, "fabric %q", command.Fabric)
	}
	socket, err := listenUDP(ctx, command.Listen)
	if err != nil {
		return err
	}
	client := clientsim.New(clientsim.Settings{
		Name: command.Name, Service: command.Service, Frontend: frontend, Fabric: fabric,
		Port:  uint16(socket.LocalAddr().(*net.UDPAddr).Port),
		Feeds: command.Feeds, UDPFlows: command.UDPFlows,
		TapRate: command.TapRate, UploadRate: command.UploadRate, UploadBytes: command.UploadBytes,
		StallLimit: command.StallLimit, OpenLimit: command.OpenLimit, Seed: command.Seed,
	}, wire.SocketSender(socket))
	go wire.Serve(socket, func(datagram []byte) { client.Receive(time.Now(), datagram) })
	go runEvery(ctx, tickInterval, client.Tick)
	err = serveHTTP(ctx, logger, command.Admin, client.Handler())
	return errors.CombineErrors(err, json.NewEncoder(os.Stdout).Encode(client.Report()))
}
