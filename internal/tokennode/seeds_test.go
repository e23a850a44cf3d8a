package tokennode

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

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

// TestLoneNodeContactsOtherNodes checks that a node that knows no other member sends its requests to
// the contacts and the seeds in turn, and that other nodes send none to the contacts.
func TestLoneNodeContactsOtherNodes(t *testing.T) {
	is := is.New(t)
	own, seed := netip.MustParseAddrPort("10.0.0.1:7946"), netip.MustParseAddrPort("10.0.0.2:7946")
	settings := &config.Settings{ControlAddress: own, Seeds: []netip.AddrPort{seed}}
	contact := netip.MustParseAddrPort("10.0.0.3:7946")
	contacts := []netip.AddrPort{own, contact}
	is.Equal(joinTargets(settings, 0, true, contacts), settings.Seeds)
	is.Equal(joinTargets(settings, 1, true, contacts), []netip.AddrPort{contact})
	is.Equal(joinTargets(settings, 2, true, contacts), settings.Seeds)
	is.Equal(joinTargets(settings, 1, false, contacts), settings.Seeds)
	is.Equal(len(joinTargets(settings, 1, true, nil)), 0)
	is.Equal(len(randomContacts(own, slices.Repeat(contacts, 5))), contactsAtOnce)
}

// TestLoneNodeIsNotReadyAtFirst guards against packets of open flows that a node forwards by wrong
// tokens while it cannot have heard of these flows: it waits for a member, but not for long, and not if
// it knows no address of another node.
func TestLoneNodeIsNotReadyAtFirst(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	e := newEngineWithView(t, zerolog.Nop(), &now)
	isReady := func() bool {
		ready, _ := e.readiness()
		return ready
	}
	is.True(isReady()) // without seeds
	e.settings.Seeds = []netip.AddrPort{e.settings.ControlAddress}
	is.True(isReady()) // it is its only seed
	e.contacts = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9")}
	is.Equal(isReady(), false)
	e.otherMembers = 1
	is.True(isReady())
	e.otherMembers = 0
	now = aloneTimeout
	is.True(isReady())
}
