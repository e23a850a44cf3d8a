package view_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/view/viewtest"
)

// observer is a replica with the time at which it was last known to be current.
type observer struct {
	*view.Replica
	contact view.Contact
}

// applyAt runs an update at a time, and records that the replica is current then.
func (o *observer) applyAt(now time.Duration, update func()) {
	o.SetContact(o.contact)
	update()
	o.contact.CurrentAt = now
}

// TestDeletedAfterPrecedesDeletion guards against openings to back ends that have left: whichever
// way a replica learns of a deletion, and however late, it must not take the deletion to be more
// recent than it is.
func TestDeletedAfterPrecedesDeletion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := viewtest.NewStore()
		store.Configure(1, 80)
		names := []lb.BackendName{"a", "b", "c"}
		for _, name := range names {
			store.Put(name, lb.BackendActive)
		}
		reader := &observer{view.NewReplica(), view.NoContact}
		receiver := &observer{view.NewReplica(), view.NoContact}
		deletedAt := make(map[lb.BackendName]time.Duration)
		now := time.Duration(0)
		reader.applyAt(now, func() { reader.ApplyListing(now, store.List()) })
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			name := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.SampledFrom([]string{"remove", "put", "changes", "listing", "delta", "whole", "parts", "snapshot", "listed by receiver"}).Draw(t, "step") {
			case "remove":
				if _, found := store.Entry(name); found {
					deletedAt[name] = now
				}
				store.Remove(name)
			case "put":
				store.Put(name, lb.BackendActive)
			case "changes":
				reader.applyAt(now, func() { reader.ApplyChanges(now, store.Changes(reader.Revision())) })
			case "listing":
				reader.applyAt(now, func() { reader.ApplyListing(now, store.List()) })
			case "delta":
				receiver.receive(now, reader, receiver.Revision())
			case "whole":
				receiver.receive(now, reader, 0)
			case "parts":
				part := reader.Delta(now, 0)
				part.Part = &view.Part{To: 256}
				assembly := view.Assembly{}
				delta := assembly.Add(part)
				now += time.Second // until the last part arrives
				receiver.SetContact(view.Contact{CurrentAt: receiver.contact.CurrentAt, Delayed: true})
				receiver.ApplyDelta(now, delta)
			case "snapshot":
				snapshot := reader.Snapshot(now)
				now += time.Second // until it is read
				receiver.SetContact(receiver.contact)
				receiver.ApplySnapshot(now, snapshot)
			case "listed by receiver":
				receiver.applyAt(now, func() { receiver.ApplyListing(now, store.List()) })
			}
			checkDeletions(t, "reader", reader, deletedAt)
			checkDeletions(t, "receiver", receiver, deletedAt)
		}
	})
}

// receive applies the view of a peer since a revision. The replica is then as current as the peer.
func (o *observer) receive(now time.Duration, peer *observer, after int64) {
	o.SetContact(o.contact)
	delta := peer.Delta(now, after)
	if applied, _ := o.ApplyDelta(now, delta); applied || o.Revision() == peer.Revision() {
		o.contact.CurrentAt = max(o.contact.CurrentAt, peer.contact.CurrentAt)
	}
}

func checkDeletions(t *rapid.T, who string, replica *observer, deletedAt map[lb.BackendName]time.Duration) {
	for _, known := range replica.Backends() {
		if known.Deleted && known.DeletedAfter > deletedAt[known.Backend.Name] {
			t.Fatalf("%s: %s was deleted at %s, known as after %s", who, known.Backend.Name, deletedAt[known.Backend.Name], known.DeletedAfter)
		}
	}
}

// TestReceivedDeletionKeepsTheBetterBound checks which of the two replicas decides when a back end
// was last known to exist, and whether it was deleted during an outage.
func TestReceivedDeletionKeepsTheBetterBound(t *testing.T) {
	const learned = 10 * time.Second
	outage := func(at time.Duration) view.Contact { return view.Contact{CurrentAt: at, Outage: true} }
	cases := []struct {
		name             string
		sender, receiver view.Contact
		after            time.Duration
		duringOutage     bool
	}{
		{"the sender was in contact until later", view.Contact{CurrentAt: 9 * time.Second}, outage(2 * time.Second), 9 * time.Second, false},
		{"the receiver was in contact until later", outage(2 * time.Second), view.Contact{CurrentAt: 9 * time.Second}, 9 * time.Second, false},
		{"nobody was in contact", outage(2 * time.Second), outage(3 * time.Second), 3 * time.Second, true},
		{"the receiver has just started", view.Contact{CurrentAt: 9 * time.Second}, view.NoContact, 9 * time.Second, false},
		{"the sender knows nothing", view.NoContact, outage(3 * time.Second), 3 * time.Second, true},
		{"nobody knows", view.NoContact, view.NoContact, view.UnknownTime, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			store := viewtest.NewStore()
			store.Put("a", lb.BackendActive)
			sender, receiver := view.NewReplica(), view.NewReplica()
			sender.ApplyListing(0, store.List())
			receiver.ApplyListing(0, store.List())
			store.Remove("a")
			sender.SetContact(test.sender)
			sender.ApplyChanges(learned, store.Changes(sender.Revision()))
			receiver.SetContact(test.receiver)
			receiver.ApplyDelta(learned+time.Second, sender.Delta(learned+time.Second, receiver.Revision()))
			known, found := receiver.Backend("a")
			is.True(found && known.Deleted)
			is.Equal(known.DeletedAt, learned)
			is.Equal(known.DeletedAfter, test.after)
			is.Equal(known.DeletedDuringOutage, test.duringOutage)
		})
	}
}

// TestColumnsOfEarlierVersions checks that back ends can be read as versions without the last two
// columns wrote them, and that those versions find all their columns in what is written now.
func TestColumnsOfEarlierVersions(t *testing.T) {
	is := is.New(t)
	entries := sizedSnapshot(3).View.Backends
	written := view.WriteColumns(entries)
	earlier := written[:len(written)-2*len(entries)] // zero takes one byte
	read, err := view.ReadColumns(earlier)
	is.NoErr(err)
	is.Equal(read, []view.BackendEntry(entries))
}

// TestUnusableExistedMillisIsRejected checks that a message with a time out of range is rejected by
// field and value.
func TestUnusableExistedMillisIsRejected(t *testing.T) {
	is := is.New(t)
	entry := view.BackendEntry{Revision: 1, Deleted: true, ExistedMillis: -1, Backend: viewtest.Backend("a", lb.BackendActive)}
	is.True(entry.Validate() != nil)
	is.Equal(entry.Validate().Error(), "existed_ms -1 is not between 0 and 86400000")
	entry.ExistedMillis = 24 * 60 * 60 * 1000
	is.NoErr(entry.Validate())
	text, err := json.Marshal(entry)
	is.NoErr(err)
	var read view.BackendEntry
	is.NoErr(json.Unmarshal(text, &read))
	is.Equal(read, entry)
}
