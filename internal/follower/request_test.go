package follower

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

// TestQuestionsStayInTheZone: the load is that of hundreds of nodes that start at
// once, each answered with whole views. Some questions leave the zone even so, and
// all may where few are known in it; none goes to the asking node.
func TestQuestionsStayInTheZone(t *testing.T) {
	cases := []struct {
		name        string
		near        int
		least, most float64 // part of questions in the zone
	}{
		{"many", 20, 0.8, 0.95},
		{"few", 4, 0.02, 0.3},
		{"none", 0, 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			core := New(DefaultSettings("near-0", "za", 1))
			control := func(number int) netip.AddrPort {
				return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+number))
			}
			peers := []Peer{{ID: "near-0", Zone: "za", Control: control(0)}}
			for number := 1; number <= test.near; number++ {
				peers = append(peers, Peer{ID: lb.NodeID(fmt.Sprintf("near-%d", number)), Zone: "za", Control: control(number)})
			}
			for number := range 40 {
				peers = append(peers, Peer{ID: lb.NodeID(fmt.Sprintf("far-%d", number)), Zone: "zb", Control: control(100 + number)})
			}
			core.setPeers(peers)
			near, all := 0, 0
			seen := map[netip.AddrPort]bool{}
			for range 1000 {
				for _, asked := range core.requestTargets() {
					is.True(asked != control(0))
					seen[asked] = true
					all++
					if asked.Port() < 1100 {
						near++
					}
				}
			}
			part := float64(near) / float64(all)
			is.True(part >= test.least && part <= test.most)
			is.Equal(len(seen), test.near+40)
		})
	}
}
