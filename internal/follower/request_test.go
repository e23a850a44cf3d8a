package follower

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

// TestMostRequestsStayInTheZone guards against excessive traffic between zones when hundreds of
// nodes start together and request whole views. A small fraction of requests leaves the zone
// nevertheless, and all may if few nodes of the zone are known. A node sends no request to itself.
func TestMostRequestsStayInTheZone(t *testing.T) {
	cases := []struct {
		name     string
		local    int
		min, max float64 // fraction of requests that stay in the zone
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
			for number := 1; number <= test.local; number++ {
				peers = append(peers, Peer{ID: lb.NodeID(fmt.Sprintf("near-%d", number)), Zone: "za", Control: control(number)})
			}
			for number := range 40 {
				peers = append(peers, Peer{ID: lb.NodeID(fmt.Sprintf("far-%d", number)), Zone: "zb", Control: control(100 + number)})
			}
			core.setPeers(peers)
			local, total := 0, 0
			targets := map[netip.AddrPort]bool{}
			for range 1000 {
				for _, target := range core.requestTargets() {
					is.True(target != control(0))
					targets[target] = true
					total++
					if target.Port() < 1100 {
						local++
					}
				}
			}
			fraction := float64(local) / float64(total)
			is.True(fraction >= test.min && fraction <= test.max)
			is.Equal(len(targets), test.local+40)
		})
	}
}
