package cluster

import (
	"testing"

	"github.com/matryer/is"
)

// TestLabsShareNoPorts guards against processes that fail at their start because another program
// had allocated the same port before either program used it. This must not happen for any process
// IDs.
func TestLabsShareNoPorts(t *testing.T) {
	is := is.New(t)
	const labs, portsPerLab = 4, 300 // more than a block
	labByAddress := make(map[string]int)
	var allocators [labs]portAllocator
	t.Cleanup(func() {
		for index := range allocators {
			for _, guard := range allocators[index].guards {
				_ = guard.Close()
			}
		}
	})
	for range portsPerLab {
		for lab := range allocators {
			address, err := allocators[lab].freeAddress()
			is.NoErr(err)
			other, repeated := labByAddress[address]
			if repeated {
				t.Fatalf("%s was allocated to lab %d and to lab %d", address, other, lab)
			}
			labByAddress[address] = lab
		}
	}
}
