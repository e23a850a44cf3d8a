package labcommand

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/scale"
)

// Scale runs hollow nodes at growing sizes and prints the slopes.
type Scale struct {
	Nodes     []int         `default:"12,48,192,840" help:"Fleet sizes to run, one after the other."`
	Zones     int           `default:"12" help:"Zones over all regions."`
	Regions   int           `default:"3" help:"Regions."`
	Services  int           `default:"3300" help:"Services, each with one address."`
	Addresses int           `default:"3300" help:"Addresses, spread over the services."`
	Hosts     int           `default:"4800" help:"Back-end hosts."`
	Shrink    bool          `help:"Shrink services and hosts in proportion to the nodes."`
	Warmup    time.Duration `default:"60s" help:"Virtual time in which the nodes join."`
	Duration  time.Duration `default:"60s" help:"Virtual time that is measured."`
	Changes   int           `default:"20" help:"Configuration changes in the measured time."`
	Deaths    int           `default:"0" help:"Nodes that die."`
	Restarts  int           `default:"0" help:"Nodes that are stopped as planned and replaced."`
	Rack      int           `default:"0" help:"Nodes of one zone that die at once."`
	CutZone   bool          `help:"Cut one zone off for a while."`
	CutFor    time.Duration `default:"20s" help:"How long the zone is cut off."`
	Quiet     time.Duration `default:"20s" help:"Time before the end in which no failure begins."`
	Budget    int           `default:"14000" help:"Control bytes a second that each node may send."`
	Seed      uint64        `default:"1" help:"Seed."`
	Out       string        `help:"File for the results as JSON lines."`
}

// fullNodes is the size to which Shrink relates services and hosts.
const fullNodes = 840

// Run carries the command out.
func (command *Scale) Run() error {
	fmt.Printf("%s/%s, %d processors, %s\n", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "nodes\tservices\thosts\tjoined\tout B/s mean\tout B/s max\tin B/s mean\tin B/s max\tmessages/s\tprocessor %\theap MB\tchanges\tpending\tin force p50\tp99\tmax\treal time")
	var reports []*scale.Report
	for _, nodes := range command.Nodes {
		report, err := scale.Run(command.plan(nodes))
		if err != nil {
			return errors.Wrapf(err, "%d nodes", nodes)
		}
		reports = append(reports, report)
		row(table, report)
		if err := table.Flush(); err != nil {
			return errors.Wrap(err, "table")
		}
	}
	return command.write(reports)
}

func (command *Scale) plan(nodes int) *scale.Plan {
	services, addresses, hosts := command.Services, command.Addresses, command.Hosts
	if command.Shrink {
		services = max(1, services*nodes/fullNodes)
		addresses = addresses * nodes / fullNodes
		hosts = max(services, hosts*nodes/fullNodes)
	}
	return &scale.Plan{
		Nodes: nodes, Regions: min(command.Regions, nodes), Zones: min(command.Zones, nodes), Services: services, Addresses: addresses, Hosts: hosts,
		Warmup: command.Warmup, Duration: command.Duration, Changes: command.Changes,
		Restarts: command.Restarts, Deaths: command.Deaths, Rack: command.Rack,
		CutZone: command.CutZone, CutFor: command.CutFor, Quiet: command.Quiet,
		Seed: command.Seed, ControlBytesPerSecond: command.Budget,
	}
}

func row(table *tabwriter.Writer, report *scale.Report) {
	fmt.Fprintf(table, "%d\t%d\t%d\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.3f\t%.2f\t%d\t%d\t%s\t%s\t%s\t%s\n",
		report.Plan.Nodes, report.Plan.Services, report.Plan.Hosts, report.Joined,
		report.BytesOutMean, report.BytesOutMax, report.BytesInMean, report.BytesInMax, report.MessagesMean,
		report.ProcessorMean*100, report.HeapPerNode/(1<<20), report.Changes, report.Pending,
		report.InForceP50, report.InForceP99, report.InForceMax, report.Elapsed.Round(time.Millisecond))
}

func (command *Scale) write(reports []*scale.Report) error {
	if command.Out == "" {
		return nil
	}
	file, err := os.Create(command.Out)
	if err != nil {
		return errors.Wrap(err, "results")
	}
	encoder := json.NewEncoder(file)
	for _, report := range reports {
		if err := encoder.Encode(report); err != nil {
			return errors.CombineErrors(err, file.Close())
		}
	}
	return errors.Wrap(file.Close(), "results")
}
