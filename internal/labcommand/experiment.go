// Package labcommand implements the subcommands of robinlab that run experiments in virtual time
// and report their results: experiment, overload and report.
package labcommand

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/baseline"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/experiment"
	"robinpulley.example/robinpulley/internal/report"
)

// Experiment is the subcommand that runs scenario files in virtual time.
type Experiment struct {
	Files    []string `arg:"" help:"Scenario files (YAML)." type:"existingfile"`
	Compare  bool     `help:"Run the baselines beside the core."`
	Against  string   `help:"Earlier results (JSON lines) to show beside these." type:"existingfile"`
	Runs     int      `help:"Number of seeds, in place of the scenario's."`
	Seed     uint64   `help:"First seed, in place of the scenario's."`
	Parallel int      `help:"Runs at once (default: half of the processors)."`
	Out      string   `help:"File for the results as JSON lines."`
	Check    bool     `help:"Exit with an error when a flow ran twice or a refusal was false on the core."`
}

// coreName is the name of the production decision core in results.
const coreName = "robinpulley"

// factories returns the factory of the decision core and, if compare is set, those of the
// baselines.
func factories(compare bool) []experiment.Factory {
	list := []experiment.Factory{{
		Name: coreName,
		New:  func(settings core.Settings) baseline.Balancer { return core.New(settings) },
	}}
	if !compare {
		return list
	}
	for _, method := range baseline.Methods {
		list = append(list, experiment.Factory{
			Name: string(method),
			New:  func(settings core.Settings) baseline.Balancer { return baseline.New(method, settings) },
		})
	}
	return list
}

// Run executes the subcommand: it runs the scenarios, writes their results and prints a table.
func (command *Experiment) Run() error {
	var results []*experiment.Result
	for _, file := range command.Files {
		fileResults, err := command.runFile(file)
		if err != nil {
			return err
		}
		results = append(results, fileResults...)
	}
	if command.Out != "" {
		if err := writeFile(command.Out, results); err != nil {
			return err
		}
	}
	if command.Against != "" {
		earlier, err := readFile(command.Against)
		if err != nil {
			return err
		}
		results = append(results, earlier...)
	}
	if err := report.WriteTable(os.Stdout, report.Rows(results), command.baseline()); err != nil {
		return err
	}
	return command.checkGuarantees(results)
}

// baseline returns the baseline that the table compares all balancers with, or an empty string
// without comparison.
func (command *Experiment) baseline() string {
	if command.Compare {
		return string(baseline.Methods[0])
	}
	return ""
}

// runFile runs the scenario of one file.
func (command *Experiment) runFile(file string) ([]*experiment.Result, error) {
	scenario, err := experiment.Load(file)
	if err != nil {
		return nil, err
	}
	if command.Runs > 0 {
		scenario.Runs = command.Runs
	}
	if command.Seed > 0 {
		scenario.Seed = command.Seed
	}
	batch := experiment.Batch{
		Scenario:  scenario,
		Factories: factories(command.Compare),
		Parallel:  command.Parallel,
		Progress:  func(done, total int) { progress(scenario.Name, done, total) },
	}
	return batch.Run()
}

// checkGuarantees returns an error, if Check is set, when a run of the core violated a guarantee
// that must hold under every fault: no flow runs twice, no refusal as NotRun is false, and no
// packet reaches a wrong service.
func (command *Experiment) checkGuarantees(results []*experiment.Result) error {
	if !command.Check {
		return nil
	}
	for _, result := range results {
		if result.Balancer != coreName {
			continue
		}
		if result.RunTwice > 0 || result.FalseNotRun > 0 || result.WrongService > 0 {
			return errors.Newf("scenario %s, seed %d: run twice %d, false not-run %d, wrong service %d",
				result.Scenario, result.Seed, result.RunTwice, result.FalseNotRun, result.WrongService)
		}
	}
	return nil
}

// barWidth is the width of the progress bar, in characters.
const barWidth = 40

// progress draws a progress bar on standard error.
func progress(name string, done, total int) {
	filled := barWidth * done / total
	fmt.Fprintf(os.Stderr, "\r%s [%s%s] %d/%d", name, strings.Repeat("#", filled), strings.Repeat(".", barWidth-filled), done, total)
	if done == total {
		fmt.Fprintln(os.Stderr)
	}
}

// writeFile writes results to a file and creates the file's folder if necessary.
func writeFile(path string, results []*experiment.Result) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "create folder for results")
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create results file")
	}
	if err := experiment.WriteResults(file, results); err != nil {
		return errors.CombineErrors(err, file.Close())
	}
	return errors.Wrap(file.Close(), "close results file")
}

// readFile reads results from a file.
func readFile(path string) ([]*experiment.Result, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open results file")
	}
	defer file.Close()
	results, err := experiment.ReadResults(file)
	return results, errors.Wrapf(err, "read results file %s", path)
}

// Report is the subcommand that prints a table, and optionally writes plots, of results that the
// subcommand experiment wrote.
type Report struct {
	Files    []string `arg:"" help:"Result files (JSON lines)." type:"existingfile"`
	Baseline string   `help:"Balancer to give the ratio of broken flows to."`
	Plots    string   `help:"Folder for plots (SVG)."`
}

// Run executes the subcommand.
func (command *Report) Run() error {
	var results []*experiment.Result
	for _, file := range command.Files {
		fileResults, err := readFile(file)
		if err != nil {
			return err
		}
		results = append(results, fileResults...)
	}
	if len(results) == 0 {
		return errors.New("the given files contain no results")
	}
	if err := report.WriteTable(os.Stdout, report.Rows(results), command.Baseline); err != nil {
		return err
	}
	if command.Plots == "" {
		return nil
	}
	paths, err := report.WritePlots(command.Plots, results)
	for _, path := range paths {
		fmt.Println(path)
	}
	return err
}
