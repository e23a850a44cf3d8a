package cluster

import (
	"testing"

	"github.com/matryer/is"
)

// TestLabsShareNoPorts guards against processes that end at their start, since a lab of another
// program was given the same port before either was used: whatever the process ids are.
func TestLabsShareNoPorts(t *testing.T) {
	is := is.New(t)
	const labs, each = 4, 300 // more than a block
	given := make(map[string]int)
	var all [labs]portBlocks
	t.Cleanup(func() {
		for index := range all {
			for _, guard := range all[index].guards {
				_ = guard.Close()
			}
		}
	})
	for range each {
		for lab := range all {
			address, err := all[lab].freeAddress()
			is.NoErr(err)
			other, taken := given[address]
			if taken {
				t.Fatalf("%s was given to lab %d and to lab %d", address, other, lab)
			}
			given[address] = lab
		}
	}
}
