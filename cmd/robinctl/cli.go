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

// commandLine defines the commands and the global flags.
type commandLine struct {
	Store    []string      `help:"Base URLs of the store, separated by commas." env:"ROBINCTL_STORE" placeholder:"URL"`
	Output   string        `help:"Output format: ${enum}." enum:"table,json" default:"table" short:"o"`
	Timeout  time.Duration `help:"Timeout of the whole command, including waiting." default:"30s"`
	FreshFor time.Duration `help:"Maximum age of a zone's last report; an older one is shown as stale, and the zone is not waited for." default:"30s"`
	Rate     float64       `help:"Maximum rate of requests to the store, per second." default:"20"`
	As       string        `help:"Name under which changes are recorded." default:"${identity}"`

	Service  serviceCommands `cmd:"" help:"Create, change, delete and show services."`
	Backend  backendCommands `cmd:"" help:"Create, change, delete and show back ends."`
	Label    labelCommand    `cmd:"" help:"Change labels of a back end."`
	Selector selectorCommand `cmd:"" help:"Change the selector of a service."`
	Drain    drainCommand    `cmd:"" help:"Stop sending new flows to a back end; its open flows stay."`
	Undrain  undrainCommand  `cmd:"" help:"Send new flows to a drained back end again."`
	Zone     zoneCommands    `cmd:"" help:"Evacuate a zone and restore it."`
	Status   statusCommand   `cmd:"" help:"Show the configuration in force and changes in progress."`
	Wait     waitCommand     `cmd:"" help:"Wait until a change is in force in every zone."`
	Apply    applyCommand    `cmd:"" help:"Create or change the objects of a YAML file."`
	Export   exportCommand   `cmd:"" help:"Write all objects as YAML."`
	Load     loadCommand     `cmd:"" help:"Show the demand of clients and the capacity of back ends, by service, zone and priority; needs no store."`
	Trace    traceCommand    `cmd:"" help:"Find the log lines of one flow in the logs of all nodes; needs no store."`
}

// session holds what the commands need at run time.
type session struct {
	ctx      context.Context
	operator *operator.Operator
	printer  printer
	freshFor time.Duration
}

// helpShown is the panic value that ends run after kong has printed the help.
type helpShown struct{ code int }

// run executes one command line and returns the exit code.
func run(ctx context.Context, arguments []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case helpShown:
			code = cause.code
		default:
			panic(cause)
		}
	}()
	var line commandLine
	parser, err := kong.New(&line,
		kong.Name("robinctl"),
		kong.Description("Changes the configuration of robinpulley and shows what is in force."),
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

// withoutStore reports whether a command needs no store.
func withoutStore(command string) bool {
	return strings.HasPrefix(command, "trace ") || strings.HasPrefix(command, "load ")
}

// newOperator returns an operator that uses the store with the given flags.
func newOperator(line *commandLine) (*operator.Operator, error) {
	settings := store.DefaultSettings(line.Store, randomSeed())
	settings.RequestsPerSecond = line.Rate
	client, err := store.New(settings)
	if err != nil {
		return nil, errors.Mark(err, operator.ErrBadInput)
	}
	return operator.New(client, line.As, randomID), nil
}

// identity returns the user and host under which changes are recorded, such as "ana@desk-7".
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

// idBytes is the length of a random write ID, in bytes. It makes IDs unique across all operators.
const idBytes = 8

func randomBytes() []byte {
	bytes := make([]byte, idBytes)
	_, _ = rand.Read(bytes) // never fails (crypto/rand)
	return bytes
}

func randomID() string { return hex.EncodeToString(randomBytes()) }

func randomSeed() uint64 { return binary.BigEndian.Uint64(randomBytes()) }
