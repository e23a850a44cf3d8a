package core

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

// TestIncrementalChainsEqualFullRanking changes the membership at random and compares every
// incrementally updated chain with a ranking of all nodes.
func TestIncrementalChainsEqualFullRanking(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	core := New(DefaultSettings("node-0", "zone-0"))
	var effects Effects
	present := map[int]bool{0: true}
	for range 200 {
		for range 1 + random.IntN(3) {
			index := random.IntN(30)
			present[index] = index == 0 || !present[index]
		}
		var members []Member
		for index := range 30 {
			if present[index] {
				members = append(members, Member{
					ID: lb.NodeID(fmt.Sprintf("node-%d", index)), Zone: lb.Zone(fmt.Sprintf("zone-%d", index%4)),
					Leaving: random.IntN(10) == 0,
				})
			}
		}
		core.Step(0, &Event{Members: members}, &effects)
		for index := range core.groups {
			key := core.groupsKey.BucketKey(uint16(index))
			is.Equal(core.groups[index].chain, rankChain(key, core.members.eligible, core.members.candidates))
		}
	}
}

// BenchmarkJoin840 adds one node to 839 nodes and removes it again.
func BenchmarkJoin840(b *testing.B) {
	core := New(DefaultSettings("node-0", "zone-0"))
	var effects Effects
	members := make([]Member, 840)
	for index := range members {
		members[index] = Member{ID: lb.NodeID(fmt.Sprintf("node-%d", index)), Zone: lb.Zone(fmt.Sprintf("zone-%d", index%12))}
	}
	for range b.N {
		core.Step(0, &Event{Members: members}, &effects)
		core.Step(0, &Event{Members: members[:839]}, &effects)
	}
}
