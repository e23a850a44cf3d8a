package message

import (
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
)

// These are the types of messages about the view (docs/design-platform.md, "Reading the store").
const (
	TypeViewDigest  Type = "view_digest"
	TypeViewRequest Type = "view_want"
	TypeViewDelta   Type = "view_delta"
)

// ViewDigest announces how current the sender's view is. The designated watcher of the store sends
// it, and receivers forward it.
type ViewDigest struct {
	Revision int64 `json:"revision"`
	// MinCurrentRevision is the lowest revision at which another view is as current as the sender's
	// (see view.Replica).
	MinCurrentRevision int64 `json:"changed"`
	// AgeMillis is the time since the store confirmed that the view is the newest.
	AgeMillis int64 `json:"age_ms"`
	WatcherStatus
	Route
}

// WatcherStatus identifies the designated watcher of the store, as far as the sender knows.
type WatcherStatus struct {
	// Watcher is the designated watcher. It is empty if the sender knows of none.
	Watcher lb.NodeID `json:"reader,omitempty"`
	// WatcherAgeMillis is the time since the designated watcher announced itself.
	WatcherAgeMillis int64 `json:"reader_age_ms,omitempty"`
	// Listing is set if the designated watcher is listing all entries of the store, which takes
	// seconds if there are many.
	Listing bool `json:"listing,omitempty"`
}

// Route determines to which nodes the receiver forwards a message.
type Route struct {
	// Origin is the node that started to distribute the message in a zone; the other nodes of the
	// zone forward it. If Origin is empty, the message is not forwarded within a zone.
	Origin lb.NodeID `json:"origin,omitempty"`
	// ForZone is set if the receiver is to distribute the message in its own zone, as its origin.
	ForZone bool `json:"for_zone,omitempty"`
}

// ViewRequest requests all changes after a revision, or the whole view if the revision is 0.
type ViewRequest struct {
	After int64 `json:"after"`
	// PartStart is the start of the requested part of the changes; see view.Part.
	PartStart int `json:"from,omitempty"`
}

// ViewDelta answers a ViewRequest. It is also sent unrequested when the view changes.
type ViewDelta struct {
	AgeMillis int64 `json:"age_ms"`
	// Unverified is set if the sender does not know the age of its view. AgeMillis is meaningless
	// then.
	Unverified bool `json:"unconfirmed,omitempty"`
	WatcherStatus
	Route
	Delta view.Delta `json:"delta"`
}

// IsFullView reports whether the delta contains a whole view.
func (delta ViewDelta) IsFullView() bool { return delta.Delta.After == 0 }

// MessageType returns the type of the message.
func (ViewDigest) MessageType() Type { return TypeViewDigest }

// MessageType returns the type of the message.
func (ViewRequest) MessageType() Type { return TypeViewRequest }

// MessageType returns the type of the message.
func (ViewDelta) MessageType() Type { return TypeViewDelta }

func validateViewDigest(message ViewDigest) error {
	if message.MinCurrentRevision < 0 || message.MinCurrentRevision > message.Revision {
		return fieldError(TypeViewDigest, "changed", message.MinCurrentRevision, "not between 0 and revision")
	}
	if message.WatcherAgeMillis < 0 {
		return fieldError(TypeViewDigest, "reader_age_ms", message.WatcherAgeMillis, "negative")
	}
	return checkAge(TypeViewDigest, message.AgeMillis)
}

func validateViewRequest(message ViewRequest) error {
	if message.After < 0 {
		return fieldError(TypeViewRequest, "after", message.After, "negative")
	}
	if err := view.ValidatePartStart(message.PartStart); err != nil {
		return fieldError(TypeViewRequest, "from", message.PartStart, err.Error())
	}
	return nil
}

func validateViewDelta(message ViewDelta) error {
	if err := message.Delta.Validate(); err != nil {
		return fieldError(TypeViewDelta, "delta", message.Delta.Revision, err.Error())
	}
	if message.WatcherAgeMillis < 0 {
		return fieldError(TypeViewDelta, "reader_age_ms", message.WatcherAgeMillis, "negative")
	}
	return checkAge(TypeViewDelta, message.AgeMillis)
}

func checkAge(kind Type, age int64) error {
	if age < 0 {
		return fieldError(kind, "age_ms", age, "negative")
	}
	return nil
}
