package experiment_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/baseline"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/experiment"
)

func coreFactory() experiment.Factory {
	return experiment.Factory{
		Name: "robinpulley",
		New:  func(settings core.Settings) baseline.Balancer { return core.New(settings) },
	}
}

// scenario loads a scenario of the repository and sets its duration.
func scenario(t *testing.T, name string, duration time.Duration) *experiment.Scenario {
	t.Helper()
	loaded, err := experiment.Load(filepath.Join("..", "..", "scenarios", name+".yaml"))
	if err != nil {
		t.Fatal(err)
	}
	loaded.Duration = duration
	return loaded
}

func encode(t *testing.T, results ...*experiment.Result) string {
	t.Helper()
	var buffer bytes.Buffer
	if err := experiment.WriteResults(&buffer, results); err != nil {
		t.Fatal(err)
	}
	return buffer.String()
}

func TestEveryCommittedScenarioIsValid(t *testing.T) {
	is := is.New(t)
	entries, err := os.ReadDir(filepath.Join("..", "..", "scenarios"))
	is.NoErr(err)
	is.True(len(entries) > 0)
	for _, entry := range entries {
		if entry.IsDir() {
			continue // the folder holds scenarios in another format
		}
		_, err := experiment.Load(filepath.Join("..", "..", "scenarios", entry.Name()))
		is.NoErr(err) // every scenario loads
	}
}

func TestSameSeedSameResult(t *testing.T) {
	is := is.New(t)
	short := scenario(t, "tally-wallet-planned", 20*time.Second)
	first, err := experiment.Run(short, coreFactory(), 5)
	is.NoErr(err)
	second, err := experiment.Run(short, coreFactory(), 5)
	is.NoErr(err)
	is.Equal(encode(t, first), encode(t, second)) // byte for byte
	other, err := experiment.Run(short, coreFactory(), 6)
	is.NoErr(err)
	is.True(encode(t, first) != encode(t, other)) // another seed produces another result
}

func TestPlannedChangesBreakNothing(t *testing.T) {
	for _, name := range []string{"tally-wallet-planned", "recuerdos-planned"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			result, err := experiment.Run(scenario(t, name, 60*time.Second), coreFactory(), 1)
			is.NoErr(err)
			is.True(result.Established > 10000) // the scenario produced enough flows
			is.Equal(result.BrokenTotal, 0)     // no flow breaks
			is.Equal(result.RunTwice, 0)        // no request runs twice
			is.Equal(result.FalseNotRun, 0)     // every refusal as NotRun is correct
			is.Equal(result.WrongService, 0)    // no packet reaches another service
			is.Equal(result.LateNew, 0)         // a leaving back end receives no new flows
		})
	}
}

func TestUnplannedFailuresNeverRunTwice(t *testing.T) {
	for _, name := range []string{"tally-wallet-kill", "tally-wallet-freeze", "recuerdos-cut"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			result, err := experiment.Run(scenario(t, name, 40*time.Second), coreFactory(), 1)
			is.NoErr(err)
			is.Equal(result.RunTwice, 0)
			is.Equal(result.FalseNotRun, 0)
			is.Equal(result.WrongService, 0)
		})
	}
}

func TestBaselinesBreakFlowsWhereTheCoreDoesNot(t *testing.T) {
	is := is.New(t)
	for _, method := range baseline.Methods {
		factory := experiment.Factory{
			Name: string(method),
			New:  func(settings core.Settings) baseline.Balancer { return baseline.New(method, settings) },
		}
		result, err := experiment.Run(scenario(t, "tally-wallet-planned", 40*time.Second), factory, 1)
		is.NoErr(err)
		is.True(result.BrokenTotal > 0) // the scenario breaks flows unless the balancer prevents it
	}
}

func TestScenarioErrorsNameFieldAndValue(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown field", "colour: red\n", "colour"},
		{"runs", "name: x\nruns: -3\n", "runs -3"},
		{"kind", "name: x\nservices:\n  - {name: s, hosts: 1, slots: 1, connections: 1, traffic: [{kind: flood, opens_per_second: 1}]}\n", `"flood"`},
		{"fault", "name: x\nfaults:\n  - {do: melt}\n", `"melt"`},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			is := is.New(t)
			_, err := experiment.Parse([]byte(testCase.text))
			is.True(err != nil)
			is.True(bytes.Contains([]byte(err.Error()), []byte(testCase.want))) // the error names the field and the value
		})
	}
}

func TestResultsRoundTrip(t *testing.T) {
	is := is.New(t)
	result, err := experiment.Run(scenario(t, "tally-wallet-calm", 5*time.Second), coreFactory(), 3)
	is.NoErr(err)
	text := encode(t, result)
	read, err := experiment.ReadResults(bytes.NewReader([]byte(text)))
	is.NoErr(err)
	is.Equal(encode(t, read...), text)
}
