package tokennode

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/config"
)

// TestSeedsAreAskedTogetherOnce: later questions go to one of them, so that a
// fleet that starts does not ask all of them again at the same moment.
func TestSeedsAreAskedTogetherOnce(t *testing.T) {
	is := is.New(t)
	own := netip.MustParseAddrPort("10.0.0.1:7946")
	others := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:7946"), netip.MustParseAddrPort("10.0.0.3:7946")}
	settings := &config.Settings{ControlAddress: own, Seeds: append([]netip.AddrPort{own}, others...)}
	is.Equal(seedsToAsk(settings, true), others)
	for range 20 {
		asked := seedsToAsk(settings, false)
		is.Equal(len(asked), 1)
		is.True(slices.Contains(others, asked[0]))
	}
}
