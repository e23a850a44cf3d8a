package node

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/config"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/metrics"
)

// TestOperationsPageIsComplete checks that the operations page names every setting, log event and
// metric, and no metric that does not exist.
func TestOperationsPageIsComplete(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../docs/operations-node.md")
	is.NoErr(err)
	page := string(text)
	expect := func(kind, name string) {
		if !strings.Contains(page, "`"+name+"`") {
			t.Errorf("the operations page lacks the %s %s", kind, name)
		}
	}
	for _, name := range config.FieldNames() {
		expect("setting", name)
	}
	for _, event := range logging.Events() {
		expect("log event", string(event))
	}
	known := map[string]bool{}
	for _, metric := range allMetrics {
		known[metric.Name] = true
		expect("metric", metric.Name)
	}
	for _, word := range strings.Split(page, "`") {
		name, _, _ := strings.Cut(word, "{") // labels may follow
		if strings.HasPrefix(name, metrics.Prefix) && !known[name] {
			t.Errorf("the operations page has the metric %s, which does not exist", name)
		}
	}
}
