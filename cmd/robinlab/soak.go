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

// soakCommand implements "robinlab soak", a run under random faults.
type soakCommand struct {
	Seed     uint64        `help:"Random seed of the faults; 0 chooses one at random."`
	Duration time.Duration `help:"Duration of fault injection." default:"2m"`
	Seeds    string        `help:"File of seeds that once failed, to run instead; one per line: SEED [only=KIND,...] CAUSE." type:"existingfile"`
	Only     []string      `help:"Kinds of fault to inject, separated by commas; default: all." placeholder:"KIND"`
	Nodes    int           `help:"Number of balancers; 0 selects the default." default:"0"`
	Zones    int           `help:"Number of zones of the balancers; 0 selects the default." default:"0"`
	Out      string        `help:"Directory for logs and settings files." default:"out/soak"`
}

// Validate checks the flags; kong calls it after parsing.
func (command *soakCommand) Validate() error {
	if command.Nodes < 0 || command.Zones < 0 {
		return errors.Newf("--nodes %d and --zones %d must not be negative", command.Nodes, command.Zones)
	}
	if command.Nodes > 0 && command.Zones > command.Nodes {
		return errors.Newf("--zones %d: there are only %d nodes", command.Zones, command.Nodes)
	}
	_, err := faultKinds(command.Only)
	return err
}

// faultKinds returns the kinds of fault with the given names, or all kinds if no names are given.
func faultKinds(names []string) ([]soak.Fault, error) {
	if len(names) == 0 {
		return faults.All(), nil
	}
	var kinds []soak.Fault
	for _, name := range names {
		index := slices.IndexFunc(faults.All(), func(kind soak.Fault) bool { return kind.Name() == name })
		if index < 0 {
			return nil, errors.Newf("only %q: unknown kind of fault", name)
		}
		kinds = append(kinds, faults.All()[index])
	}
	return kinds, nil
}

// Run executes one soak, or one for each seed in the file.
func (command *soakCommand) Run(ctx context.Context) error {
	seeds, err := command.selectSeeds()
	if err != nil {
		return err
	}
	var failed, unchecked []uint64
	for _, selected := range seeds {
		seed := selected.seed
		report, err := command.runSeed(ctx, selected)
		if err != nil {
			return err
		}
		if len(report.Violations) > 0 {
			failed = append(failed, seed)
		}
		if rules := report.UnverifiedRules(); len(rules) > 0 {
			fmt.Printf("seed %d never checked %v: no node was undisturbed for long enough\n", seed, rules)
			unchecked = append(unchecked, seed)
		}
		if rules := report.UnexercisedRules(); len(rules) > 0 {
			fmt.Printf("seed %d had faults for %v, but no opening tested the rule: most nodes were disturbed, or had just started\n", seed, rules)
		}
	}
	if len(failed) > 0 {
		return errors.Newf("rules were violated with the seeds %d; logs are in %s", failed, command.Out)
	}
	if len(unchecked) > 0 {
		return errors.Newf("the runs with the seeds %d did not check some rules; use a longer duration", unchecked)
	}
	return nil
}

// runSeed runs one soak and prints its report.
func (command *soakCommand) runSeed(ctx context.Context, selected soakSeed) (*soak.Report, error) {
	seed := selected.seed
	settings, err := soakSettings(filepath.Join(command.Out, strconv.FormatUint(seed, 10)))
	if err != nil {
		return nil, err
	}
	settings.Seed = seed
	settings.Duration = command.Duration
	settings.Size.Nodes = cmp.Or(command.Nodes, settings.Size.Nodes)
	settings.Size.Zones = cmp.Or(command.Zones, settings.Size.Zones)
	fmt.Printf("soak with seed %d for %s\n", seed, command.Duration)
	kinds, err := faultKinds(selected.only)
	if err != nil {
		return nil, err
	}
	report, err := soak.Run(ctx, settings, kinds, os.Stdout)
	if err != nil {
		return nil, err
	}
	return report, report.Print(os.Stdout)
}

// soakSettings returns the default settings for the balancer program in the directory of this
// program.
func soakSettings(directory string) (soak.Settings, error) {
	binaries, err := binaryDirectory()
	return soak.Settings{
		Size:      soak.DefaultSize(),
		Bounds:    soak.DefaultBounds(),
		Program:   filepath.Join(binaries, "robinpulley"),
		Directory: directory,
	}, err
}

// soakSeed is one soak to run.
type soakSeed struct {
	seed uint64
	only []string // kinds of fault to inject; all if empty
}

// selectSeeds returns the seeds in the file if there is one, and otherwise the seed of the flag or a
// random one.
func (command *soakCommand) selectSeeds() ([]soakSeed, error) {
	if command.Seeds != "" {
		return readSeeds(command.Seeds)
	}
	if command.Seed == 0 {
		return []soakSeed{{uint64(rand.Uint32()), command.Only}}, nil
	}
	return []soakSeed{{command.Seed, command.Only}}, nil
}

// onlyPrefix precedes the kinds of fault in a line of the seeds file, as given to --only.
const onlyPrefix = "only="

// readSeeds reads a file of seeds. It ignores empty lines and lines that begin with #.
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
			return nil, errors.Newf("%s: line %d: seed %q is not a number above 0", path, line, number)
		}
		selected := soakSeed{seed: seed}
		if first, _, _ := strings.Cut(rest, " "); strings.HasPrefix(first, onlyPrefix) {
			selected.only = strings.Split(strings.TrimPrefix(first, onlyPrefix), ",")
		}
		if _, err := faultKinds(selected.only); err != nil {
			return nil, errors.Newf("%s: line %d: %v", path, line, err)
		}
		seeds = append(seeds, selected)
	}
	return seeds, errors.Wrap(scanner.Err(), path)
}
