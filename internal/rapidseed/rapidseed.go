// Package rapidseed sets a fixed seed for the property tests of a package, which use rapid, so that
// every run produces the same result. A seed on the command line (-rapid.seed) takes precedence.
package rapidseed

import (
	"flag"
	"testing"
)

// seed is the seed for all packages that use Run.
const seed = "4"

// Run runs the tests of a package and returns the exit code. It is called from TestMain.
func Run(m *testing.M) int {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		_ = flag.Set("rapid.seed", seed)
	}
	return m.Run()
}
