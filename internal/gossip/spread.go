package gossip

import (
	"math"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// Bounds of announcements; what exceeds them is left to anti-entropy.
const (
	// maxAnnounced bounds the versions in one announcement, which keeps it in
	// a datagram.
	maxAnnounced = 24
	// maxHot bounds the versions being announced.
	maxHot = 512
	// maxNews bounds the documents of one step that are announced.
	maxNews = 128
)

// hotVersion is a version being announced.
type hotVersion struct {
	message.ServiceVersion
	rounds int // left
}

// question is a document that has been asked for.
type question struct {
	version  lb.Version
	announce lb.NodeID // the last node to announce it
	until    time.Duration
}

// leastRounds is how often a version is announced however often it is heard.
const leastRounds = 2

// rounds is how often a node announces a version. With Fanout nodes told each
// time, ln(n) tellings reach all with high probability; as many again allow
// for loss, and for nodes that hear too little in small fleets.
func (core *Core) rounds() int {
	tellings := 2 * math.Log(float64(len(core.members)+2))
	return leastRounds + int(math.Ceil(tellings/float64(core.settings.Fanout)))
}

// announce makes a document news, in place of an older version of it.
func (core *Core) announce(document *lb.Placement) {
	core.dropHot(document.Service)
	version := message.ServiceVersion{Service: document.Service, Version: document.Version}
	core.hot = slices.Insert(core.hot, core.fresh, hotVersion{ServiceVersion: version, rounds: core.rounds()})
	core.fresh++
	core.hot = core.hot[:min(len(core.hot), maxHot)]
	core.fresh = min(core.fresh, len(core.hot))
}

func (core *Core) dropHot(service lb.ServiceName) {
	index := slices.IndexFunc(core.hot, func(hot hotVersion) bool { return hot.Service == service })
	if index < 0 {
		return
	}
	core.hot = slices.Delete(core.hot, index, index+1)
	if index < core.fresh {
		core.fresh--
	}
}

// announceFresh announces at once what this step has made news.
func (core *Core) announceFresh(effects *Effects) {
	for core.fresh > 0 {
		core.announceFirst(min(core.fresh, maxAnnounced), effects)
	}
}

// announceHot is one round.
func (core *Core) announceHot(effects *Effects) {
	if len(core.hot) > 0 {
		core.announceFirst(min(len(core.hot), maxAnnounced), effects)
	}
}

// announceFirst announces the first versions and puts them behind the others.
func (core *Core) announceFirst(count int, effects *Effects) {
	versions := make([]message.ServiceVersion, count)
	rest := slices.Clone(core.hot[count:])
	for index, hot := range core.hot[:count] {
		versions[index] = hot.ServiceVersion
		hot.rounds--
		if hot.rounds > 0 {
			rest = append(rest, hot)
		}
	}
	core.hot = rest
	core.fresh = max(0, core.fresh-count)
	for _, target := range core.targets() {
		core.send(effects, target, message.Want{Versions: versions})
	}
}

// targets picks Fanout random nodes: one of another zone, the others of the
// own, or more of others where the own has too few.
func (core *Core) targets() []lb.NodeID {
	targets := make([]lb.NodeID, 0, core.settings.Fanout)
	farCount := min(1, len(core.far))
	nearCount := min(core.settings.Fanout-farCount, len(core.near))
	targets = core.pick(targets, core.near, nearCount)
	return core.pick(targets, core.far, min(core.settings.Fanout-nearCount, len(core.far)))
}

// pick appends distinct random nodes.
func (core *Core) pick(targets, from []lb.NodeID, count int) []lb.NodeID {
	for wanted := len(targets) + count; len(targets) < wanted; {
		if target := from[core.random.IntN(len(from))]; !slices.Contains(targets, target) {
			targets = append(targets, target)
		}
	}
	return targets
}

// takeWant takes an announcement or a request.
func (core *Core) takeWant(from lb.NodeID, want *message.Want, effects *Effects) {
	if len(want.Groups) == 0 && !want.Reply {
		core.takeAnnouncement(from, want.Versions, effects)
		return
	}
	core.answerWant(from, want, effects)
}

// takeAnnouncement asks for what is newer and tells of what is older.
func (core *Core) takeAnnouncement(from lb.NodeID, versions []message.ServiceVersion, effects *Effects) {
	var ask, tell []message.ServiceVersion
	for _, announced := range versions {
		known := message.ServiceVersion{Service: announced.Service, Version: core.version(announced.Service)}
		switch {
		case known.Version < announced.Version:
			if core.shouldAsk(from, announced) {
				ask = append(ask, known)
			}
		case known.Version > announced.Version:
			tell = append(tell, known)
		default:
			core.heardAgain(announced.Service)
		}
	}
	if len(ask) > 0 {
		core.send(effects, from, message.Want{Versions: ask, Reply: true})
	}
	if len(tell) > 0 {
		core.send(effects, from, message.Want{Versions: tell})
	}
}

// shouldAsk tells whether to ask this node now, and remembers whom to ask next.
func (core *Core) shouldAsk(from lb.NodeID, announced message.ServiceVersion) bool {
	asked, found := core.asked[announced.Service]
	if found && asked.version >= announced.Version && core.now < asked.until {
		asked.announce = from
		core.asked[announced.Service] = asked
		return false
	}
	core.asked[announced.Service] = question{version: announced.Version, announce: from, until: core.now + core.settings.AskTimeout}
	return true
}

// askAgain asks the last node that announced a document which has not come.
func (core *Core) askAgain(effects *Effects) {
	var late []lb.ServiceName
	for service, asked := range core.asked {
		if core.now >= asked.until {
			late = append(late, service)
		}
	}
	slices.Sort(late) // the order of a map is random
	for _, service := range late {
		asked := core.asked[service]
		delete(core.asked, service)
		if _, alive := core.members[asked.announce]; !alive || core.version(service) >= asked.version {
			continue
		}
		core.send(effects, asked.announce, message.Want{
			Versions: []message.ServiceVersion{{Service: service, Version: core.version(service)}},
			Reply:    true,
		})
	}
}

// heardAgain takes an announcement of a known version as a sign that it has
// spread: it saves a round, but not the last ones.
func (core *Core) heardAgain(service lb.ServiceName) {
	for index := range core.hot {
		if core.hot[index].Service != service || index < core.fresh {
			continue
		}
		core.hot[index].rounds = max(core.hot[index].rounds-1, min(core.hot[index].rounds, leastRounds))
		return
	}
}

// takeDocuments adopts documents from a peer.
func (core *Core) takeDocuments(received *message.Placements, effects *Effects) {
	documents := make([]*lb.Placement, len(received.Placements))
	for index := range received.Placements {
		documents[index] = &received.Placements[index]
	}
	core.takePlacements(documents, effects)
	core.entropy.nextSnapshot = max(core.entropy.nextSnapshot, core.now+snapshotRetry/2)
}
