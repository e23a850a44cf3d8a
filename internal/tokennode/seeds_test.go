package tokennode

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/config"
)

// TestAllSeedsAreContactedOnlyAtFirst checks that later requests go to one seed at a time. If a
// fleet that starts sent every request to all seeds, it would overload them.
func TestAllSeedsAreContactedOnlyAtFirst(t *testing.T) {
	is := is.New(t)
	own := netip.MustParseAddrPort("10.0.0.1:7946")
	others := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:7946"), netip.MustParseAddrPort("10.0.0.3:7946")}
	settings := &config.Settings{ControlAddress: own, Seeds: append([]netip.AddrPort{own}, others...)}
	is.Equal(seedsToContact(settings, true), others)
	for range 20 {
		contacted := seedsToContact(settings, false)
		is.Equal(len(contacted), 1)
		is.True(slices.Contains(others, contacted[0]))
	}
}
