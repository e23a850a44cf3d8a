package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/soak"
	"robinpulley.example/robinpulley/internal/lab/soak/faults"
)

// soakCommand does a fault soak.
type soakCommand struct {
	Seed     uint64        `help:"Seed of the faults; 0 draws one."`
	Duration time.Duration `help:"How long faults are injected." default:"2m"`
	Seeds    string        `help:"File of seeds that once failed: each is played instead, one line each, SEED [only=KIND,...] CAUSE." type:"existingfile"`
	Only     []string      `help:"Kinds of fault that are drawn, separated by commas; empty: all." placeholder:"KIND"`
	Nodes    int           `help:"Balancers; 0 is the usual number." default:"0"`
	Zones    int           `help:"Zones of the balancers; 0 is the usual number." default:"0"`
	Out      string        `help:"Directory for logs and settings files." default:"out/soak"`
}

// Validate is called by kong.
func (command *soakCommand) Validate() error {
	if command.Nodes < 0 || command.Zones < 0 {
		return errors.Newf("--nodes %d and --zones %d must not be negative", command.Nodes, command.Zones)
	}
	if command.Nodes > 0 && command.Zones > command.Nodes {
		return errors.Newf("--zones %d: there are only %d nodes", command.Zones, command.Nodes)
	}
	_, err := kindsOf(command.Only)
	return err
}

// kindsOf gives the kinds of fault with these names; all if there are none.
func kindsOf(names []string) ([]soak.Fault, error) {
	if len(names) == 0 {
		return faults.All(), nil
	}
	var kinds []soak.Fault
	for _, name := range names {
		index := slices.IndexFunc(faults.All(), func(kind soak.Fault) bool { return kind.Name() == name })
		if index < 0 {
			return nil, errors.Newf("only %q: no kind of fault", name)
		}
		kinds = append(kinds, faults.All()[index])
	}
	return kinds, nil
}

// Run does the soak, or one for each seed of the file.
func (command *soakCommand) Run(ctx context.Context) error {
	seeds, err := command.seeds()
	if err != nil {
		return err
	}
	var failed, unchecked []uint64
	for _, played := range seeds {
		seed := played.seed
		report, err := command.play(ctx, played)
		if err != nil {
			return err
		}
		if len(report.Violations) > 0 {
			failed = append(failed, seed)
		}
		if rules := report.Unchecked(); len(rules) > 0 {
			fmt.Printf("seed %d never checked %v: no node was undisturbed for long enough\n", seed, rules)
			unchecked = append(unchecked, seed)
		}
		if rules := report.Unreached(); len(rules) > 0 {
			fmt.Printf("seed %d had faults for %v, but no opening came to test it: most nodes were disturbed, or had just started\n", seed, rules)
		}
	}
	if len(failed) > 0 {
		return errors.Newf("promises were not kept with the seeds %d; logs are in %s", failed, command.Out)
	}
	if len(unchecked) > 0 {
		return errors.Newf("the runs with the seeds %d show nothing of some promises; a longer duration does", unchecked)
	}
	return nil
}

func (command *soakCommand) play(ctx context.Context, played soakSeed) (*soak.Report, error) {
	seed := played.seed
	settings, err := soakSettings(filepath.Join(command.Out, strconv.FormatUint(seed, 10)))
	if err != nil {
		return nil, err
	}
	settings.Seed = seed
	settings.Duration = command.Duration
	settings.Size.Nodes = cmp.Or(command.Nodes, settings.Size.Nodes)
	settings.Size.Zones = cmp.Or(command.Zones, settings.Size.Zones)
	fmt.Printf("soak with seed %d for %s\n", seed, command.Duration)
	kinds, err := kindsOf(played.only)
	if err != nil {
		return nil, err
	}
	report, err := soak.Run(ctx, settings, kinds, os.Stdout)
	if err != nil {
		return nil, err
	}
	return report, report.Print(os.Stdout)
}

// soakSettings gives the defaults for the balancer beside this program.
func soakSettings(directory string) (soak.Settings, error) {
	binaries, err := binaryDirectory()
	return soak.Settings{
		Size:      soak.DefaultSize(),
		Bounds:    soak.DefaultBounds(),
		Program:   filepath.Join(binaries, "robinpulley"),
		Directory: directory,
	}, err
}

// soakSeed is one soak to be played.
type soakSeed struct {
	seed uint64
	only []string // kinds of fault; empty: all
}

// seeds gives those to be played.
func (command *soakCommand) seeds() ([]soakSeed, error) {
	if command.Seeds != "" {
		return readSeeds(command.Seeds)
	}
	if command.Seed == 0 {
		return []soakSeed{{uint64(rand.Uint32()), command.Only}}, nil
	}
	return []soakSeed{{command.Seed, command.Only}}, nil
}

// onlyMark begins the kinds of fault of a seed that was played with --only.
const onlyMark = "only="

// readSeeds reads a file of seeds. Empty lines and those that begin with # are passed over.
func readSeeds(path string) ([]soakSeed, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "seeds")
	}
	defer file.Close()
	var seeds []soakSeed
	scanner := bufio.NewScanner(file)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		number, rest, _ := strings.Cut(text, " ")
		seed, err := strconv.ParseUint(number, 10, 64)
		if err != nil || seed == 0 {
			return nil, errors.Newf("%s: line %d: seed %q is no number above 0", path, line, number)
		}
		played := soakSeed{seed: seed}
		if first, _, _ := strings.Cut(rest, " "); strings.HasPrefix(first, onlyMark) {
			played.only = strings.Split(strings.TrimPrefix(first, onlyMark), ",")
		}
		if _, err := kindsOf(played.only); err != nil {
			return nil, errors.Newf("%s: line %d: %v", path, line, err)
		}
		seeds = append(seeds, played)
	}
	return seeds, errors.Wrap(scanner.Err(), path)
}
