package report_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/experiment"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/report"
)

func result(balancer string, broken int, imbalance float64) *experiment.Result {
	return &experiment.Result{
		Scenario: "calm", Balancer: balancer, Established: 100, BrokenTotal: broken,
		Broken:        map[experiment.Cause]int{experiment.CauseReset: broken},
		Imbalance:     map[lb.ServiceName]float64{"small": 1, "large": imbalance},
		InForceMillis: []float64{100, 300, 200},
		Samples:       []experiment.Sample{{Second: 1, Imbalance: imbalance, Open: 5, Broken: broken}},
	}
}

func TestRowsSummarizeRunsByScenarioAndBalancer(t *testing.T) {
	is := is.New(t)
	rows := report.Rows([]*experiment.Result{result("core", 0, 1.1), result("modulo", 40, 1.2), result("core", 2, 1.3)})
	is.Equal(len(rows), 2)
	is.Equal(rows[0].Balancer, "core")
	is.Equal(rows[0].Runs, 2)
	is.Equal(rows[0].RunsWithBroken, 1)
	is.Equal(rows[0].Broken, 2)
	is.Equal(rows[0].ImbalanceMax, 1.3) // the highest imbalance of a service in any run
	is.True(rows[0].ImbalanceMean > 1.199 && rows[0].ImbalanceMean < 1.201)
	is.Equal(rows[0].InForceP99, 300.0)
	is.Equal(rows[1].ByCause[experiment.CauseReset], 40)
}

func TestTableContainsRatioToBaseline(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	rows := report.Rows([]*experiment.Result{result("core", 2, 1.1), result("modulo", 40, 1.2)})
	is.NoErr(report.WriteTable(&text, rows, "modulo"))
	is.True(strings.Contains(text.String(), "broken vs modulo"))
	is.True(strings.Contains(text.String(), "0.0500"))
}

func TestPlotsAreWritten(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	paths, err := report.WritePlots(folder, []*experiment.Result{result("core", 2, 1.1), result("modulo", 40, 1.2)})
	is.NoErr(err)
	is.Equal(len(paths), 3)
	content, err := os.ReadFile(filepath.Join(folder, "calm-broken.svg"))
	is.NoErr(err)
	is.True(bytes.Contains(content, []byte("modulo"))) // the legend contains each balancer's name
}
