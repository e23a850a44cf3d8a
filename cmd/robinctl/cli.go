package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/operator"
	"robinpulley.example/robinpulley/internal/store"
)

// commandLine is everything robinctl understands.
type commandLine struct {
	Store    []string      `help:"Base URLs of the store, separated by commas." env:"ROBINCTL_STORE" placeholder:"URL"`
	Output   string        `help:"Form of the output: ${enum}." enum:"table,json" default:"table" short:"o"`
	Timeout  time.Duration `help:"Longest time for the whole command, waiting included." default:"30s"`
	FreshFor time.Duration `help:"A zone whose last report is older is shown as stale and not waited for." default:"30s"`
	Rate     float64       `help:"Most requests to the store, per second." default:"20"`
	As       string        `help:"Name under which changes are recorded." default:"${identity}"`

	Service  serviceCommands `cmd:"" help:"Create, change, delete and show services."`
	Backend  backendCommands `cmd:"" help:"Create, change, delete and show back ends."`
	Label    labelCommand    `cmd:"" help:"Change labels of a back end."`
	Selector selectorCommand `cmd:"" help:"Change the selector of a service."`
	Drain    drainCommand    `cmd:"" help:"Take new flows away from a back end; its flows stay."`
	Undrain  undrainCommand  `cmd:"" help:"Let a drained back end take new flows again."`
	Zone     zoneCommands    `cmd:"" help:"Take a zone out of use, and take it back."`
	Status   statusCommand   `cmd:"" help:"Show what is in force and what is under way."`
	Wait     waitCommand     `cmd:"" help:"Wait until a change is in force in every zone."`
	Apply    applyCommand    `cmd:"" help:"Create or change the objects of a YAML file."`
	Export   exportCommand   `cmd:"" help:"Write all objects as YAML."`
	Load     loadCommand     `cmd:"" help:"Show what callers ask for and back ends can do, by service, zone and priority; needs no store."`
	Trace    traceCommand    `cmd:"" help:"Find one flow in the logs of all nodes; needs no store."`
}

// session is what commands work with.
type session struct {
	ctx      context.Context
	operator *operator.Operator
	printer  printer
	freshFor time.Duration
}

// helpShown ends the run after kong has printed the help.
type helpShown struct{ code int }

// run carries out one command line and gives the exit code.
func run(ctx context.Context, arguments []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		switch ended := recover().(type) {
		case nil:
		case helpShown:
			code = ended.code
		default:
			panic(ended)
		}
	}()
	var line commandLine
	parser, err := kong.New(&line,
		kong.Name("robinctl"),
		kong.Description("Changes the configuration of robinpulley and tells what is in force."),
		kong.Writers(stdout, stderr),
		kong.Vars{"identity": identity()},
		kong.Exit(func(code int) { panic(helpShown{code}) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		return report(stderr, outputTable, err)
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		return report(stderr, line.Output, errors.Mark(err, operator.ErrBadInput))
	}
	ctx, cancel := context.WithTimeout(ctx, line.Timeout)
	defer cancel()
	session := &session{ctx: ctx, printer: printer{output: line.Output, writer: stdout}, freshFor: line.FreshFor}
	if !withoutStore(parsed.Command()) {
		session.operator, err = newOperator(&line)
	}
	if err == nil {
		err = parsed.Run(session)
	}
	return report(stderr, line.Output, err)
}

// withoutStore tells whether a command needs no store.
func withoutStore(command string) bool {
	return strings.HasPrefix(command, "trace ") || strings.HasPrefix(command, "load ")
}

// newOperator connects to the store.
func newOperator(line *commandLine) (*operator.Operator, error) {
	settings := store.DefaultSettings(line.Store, randomSeed())
	settings.RequestsPerSecond = line.Rate
	client, err := store.New(settings)
	if err != nil {
		return nil, errors.Mark(err, operator.ErrBadInput)
	}
	return operator.New(client, line.As, randomID), nil
}

// identity names the person at this machine, e.g. "ana@desk-7".
func identity() string {
	host, err := os.Hostname()
	if err != nil {
		host = "unknown-host"
	}
	user := os.Getenv("USER")
	if user == "" {
		user = fmt.Sprintf("uid-%d", os.Getuid())
	}
	return user + "@" + host
}

// idBytes makes write ids unique among all operators.
const idBytes = 8

func randomBytes() []byte {
	bytes := make([]byte, idBytes)
	_, _ = rand.Read(bytes) // never fails (crypto/rand)
	return bytes
}

func randomID() string { return hex.EncodeToString(randomBytes()) }

func randomSeed() uint64 { return binary.BigEndian.Uint64(randomBytes()) }
