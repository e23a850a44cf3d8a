package message

import (
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
)

// The types of messages about the view (docs/design-platform.md, "Reading the store").
const (
	TypeViewDigest Type = "view_digest"
	TypeViewWant   Type = "view_want"
	TypeViewDelta  Type = "view_delta"
)

// ViewDigest says how new the sender's view is. It is sent by the node that
// reads the store for the others, and passed on.
type ViewDigest struct {
	Revision int64 `json:"revision"`
	// LastNews is the revision from which on a view lacks nothing that the
	// sender knows (view.Replica).
	LastNews int64 `json:"changed"`
	// AgeMillis is the time since the store confirmed the view as the newest.
	AgeMillis int64 `json:"age_ms"`
	Reading
	Route
}

// Reading says who reads the store for the others, as far as the sender knows.
type Reading struct {
	// Reader is empty if the sender knows of none.
	Reader lb.NodeID `json:"reader,omitempty"`
	// ReaderAgeMillis is the time since the reader itself said so.
	ReaderAgeMillis int64 `json:"reader_age_ms,omitempty"`
	// Listing: the reader lists all entries, which takes seconds where they are many.
	Listing bool `json:"listing,omitempty"`
}

// Route says to whom the receiver passes a message on.
type Route struct {
	// Origin is the node whose zone is told, through the other nodes of the
	// zone; empty: the message is not passed on in a zone.
	Origin lb.NodeID `json:"origin,omitempty"`
	// ForZone: the receiver tells its own zone, as its origin.
	ForZone bool `json:"for_zone,omitempty"`
}

// ViewWant asks for all that changed after a revision; 0: the whole view.
type ViewWant struct {
	After int64 `json:"after"`
	// From is where the wanted part of that begins; see view.Part.
	From int `json:"from,omitempty"`
}

// ViewDelta answers ViewWant, and is sent unasked when the view changes.
type ViewDelta struct {
	AgeMillis int64 `json:"age_ms"`
	// Unconfirmed: the sender does not know how old its view is; AgeMillis says nothing.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	Reading
	Route
	Delta view.Delta `json:"delta"`
}

// Whole tells whether the delta is a whole view.
func (delta ViewDelta) Whole() bool { return delta.Delta.After == 0 }

// MessageType implements Message.
func (ViewDigest) MessageType() Type { return TypeViewDigest }

// MessageType implements Message.
func (ViewWant) MessageType() Type { return TypeViewWant }

// MessageType implements Message.
func (ViewDelta) MessageType() Type { return TypeViewDelta }

func validateViewDigest(message ViewDigest) error {
	if message.LastNews < 0 || message.LastNews > message.Revision {
		return fieldError(TypeViewDigest, "changed", message.LastNews, "not between 0 and revision")
	}
	if message.ReaderAgeMillis < 0 {
		return fieldError(TypeViewDigest, "reader_age_ms", message.ReaderAgeMillis, "negative")
	}
	return checkAge(TypeViewDigest, message.AgeMillis)
}

func validateViewWant(message ViewWant) error {
	if message.After < 0 {
		return fieldError(TypeViewWant, "after", message.After, "negative")
	}
	if err := view.ValidatePartStart(message.From); err != nil {
		return fieldError(TypeViewWant, "from", message.From, err.Error())
	}
	return nil
}

func validateViewDelta(message ViewDelta) error {
	if err := message.Delta.Validate(); err != nil {
		return fieldError(TypeViewDelta, "delta", message.Delta.Revision, err.Error())
	}
	if message.ReaderAgeMillis < 0 {
		return fieldError(TypeViewDelta, "reader_age_ms", message.ReaderAgeMillis, "negative")
	}
	return checkAge(TypeViewDelta, message.AgeMillis)
}

func checkAge(kind Type, age int64) error {
	if age < 0 {
		return fieldError(kind, "age_ms", age, "negative")
	}
	return nil
}
