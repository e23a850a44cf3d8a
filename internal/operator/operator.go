// Package operator implements the commands of operators: it reads and changes the configuration in
// the store, reports which revision is in force, and waits until a revision is in force. Each
// change is a compare-and-swap on the document as it was read. If another operator changed the
// document in the meantime, nothing is written, and the error names the other change.
package operator

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/store"
)

// Errors of commands, which callers distinguish with errors.Is. Commands also return the errors
// of package store.
var (
	// ErrBadInput means that the input of the command is invalid.
	ErrBadInput = errors.New("bad input")
	// ErrNotFound means that the named object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrExists means that an object of this name exists already.
	ErrExists = errors.New("exists already")
	// ErrWaitTimeout means that the revision was not in force in every zone in time.
	ErrWaitTimeout = errors.New("not in force in time")
)

// Operator changes the configuration on behalf of one person.
type Operator struct {
	client *store.Client
	// identity identifies the person, e.g. "ana@desk-7".
	identity string
	// newID returns the unique part of a write ID.
	newID func() string
}

// New returns an operator. Each call of newID must return a different text.
func New(client *store.Client, identity string, newID func() string) *Operator {
	return &Operator{client: client, identity: identity, newID: newID}
}

// Change is the result of a command that changes one object.
type Change struct {
	Kind   string `json:"kind"` // "service", "backend" or "zone"
	Name   string `json:"name"`
	Action string `json:"action"` // "created", "changed", "deleted" or "unchanged"
	// Revision is the store revision of the object's last change.
	Revision int64 `json:"revision"`
}

// Values of Change.Action.
const (
	ActionCreated   = "created"
	ActionChanged   = "changed"
	ActionDeleted   = "deleted"
	ActionUnchanged = "unchanged"
)

// kind describes how one kind of document is stored.
type kind[Document any] struct {
	kindName   string
	key        func(name string) string
	decode     func(key string, value []byte) (Document, error)
	encode     func(document *Document) ([]byte, error)
	setWriteID func(document *Document, id string)
	// linkedWrites returns the conditions and writes that must be part of the transaction that
	// changes the document from old to new. old and new are nil if the document does not exist or
	// is invalid.
	linkedWrites func(ctx context.Context, operator *Operator, name string, old, new *Document) (linkedWrites, error)
}

// linkedWrites is the part of a transaction that concerns keys other than the document's.
type linkedWrites struct {
	conditions []store.Condition
	puts       []store.Put
	deletes    []string
}

// stored is a document with its state in the store when it was read.
type stored[Document any] struct {
	document Document
	keyValue store.KeyValue
}

// load reads and decodes the document of the named object.
func load[Document any](ctx context.Context, operator *Operator, kind *kind[Document], name string) (stored[Document], error) {
	var result stored[Document]
	current, err := operator.client.Get(ctx, kind.key(name))
	if err != nil {
		return result, err
	}
	if !current.Exists() {
		return result, errors.Wrapf(ErrNotFound, "%s %q", kind.kindName, name)
	}
	document, err := kind.decode(current.Key, current.Value)
	return stored[Document]{document: document, keyValue: current}, errors.Wrapf(err, "stored %s %q is invalid", kind.kindName, name)
}

// create writes a document that must not exist yet.
func create[Document any](ctx context.Context, operator *Operator, kind *kind[Document], name string, document Document) (Change, error) {
	if _, err := kind.encode(&document); err != nil {
		return Change{}, badInput(err)
	}
	current, err := operator.client.Get(ctx, kind.key(name))
	if err != nil {
		return Change{}, err
	}
	if current.Exists() {
		return Change{}, errors.Wrapf(ErrExists, "%s %q, since revision %d", kind.kindName, name, current.CreateRevision)
	}
	return write(ctx, operator, kind, name, stored[Document]{keyValue: current}, &document)
}

// edit applies change to a document that must exist.
func edit[Document any](ctx context.Context, operator *Operator, kind *kind[Document], name string, change func(*Document) error) (Change, error) {
	old, err := load(ctx, operator, kind, name)
	if err != nil {
		return Change{}, err
	}
	edited, err := kind.decode(old.keyValue.Key, old.keyValue.Value) // a deep copy
	if err != nil {
		return Change{}, err
	}
	if err := change(&edited); err != nil {
		return Change{}, badInput(err)
	}
	return write(ctx, operator, kind, name, old, &edited)
}

// write replaces the document that was read with the new one, or creates it if it did not exist.
func write[Document any](ctx context.Context, operator *Operator, kind *kind[Document], name string, old stored[Document], document *Document) (Change, error) {
	id := operator.writeID()
	kind.setWriteID(document, id)
	value, err := kind.encode(document)
	if err != nil {
		return Change{}, badInput(err)
	}
	action := ActionChanged
	var before *Document
	if !old.keyValue.Exists() {
		action = ActionCreated
	} else {
		before = &old.document
	}
	fields := differingFields(old.keyValue.Value, value)
	if old.keyValue.Exists() && len(fields) == 0 {
		return Change{Kind: kind.kindName, Name: name, Action: ActionUnchanged, Revision: old.keyValue.ModRevision}, nil
	}
	linked, err := kind.linkedWrites(ctx, operator, name, before, document)
	if err != nil {
		return Change{}, err
	}
	linked.puts = append([]store.Put{{Key: old.keyValue.Key, Value: value}}, linked.puts...)
	lastChange := catalog.LastChange{WriteID: id, By: operator.identity, Action: action, Key: old.keyValue.Key, Fields: fields}
	revision, err := operator.commit(ctx, &old.keyValue, &lastChange, linked)
	return Change{Kind: kind.kindName, Name: name, Action: action, Revision: revision}, err
}

// remove deletes a document, whether it is valid or not.
func remove[Document any](ctx context.Context, operator *Operator, kind *kind[Document], name string) (Change, error) {
	current, err := operator.client.Get(ctx, kind.key(name))
	if err != nil {
		return Change{}, err
	}
	if !current.Exists() {
		return Change{}, errors.Wrapf(ErrNotFound, "%s %q", kind.kindName, name)
	}
	var old *Document
	if document, err := kind.decode(current.Key, current.Value); err == nil {
		old = &document
	}
	linked, err := kind.linkedWrites(ctx, operator, name, old, nil)
	if err != nil {
		return Change{}, err
	}
	linked.deletes = append(linked.deletes, current.Key)
	lastChange := catalog.LastChange{WriteID: operator.writeID(), By: operator.identity, Action: ActionDeleted, Key: current.Key}
	revision, err := operator.commit(ctx, &current, &lastChange, linked)
	return Change{Kind: kind.kindName, Name: name, Action: ActionDeleted, Revision: revision}, err
}

// commit commits the writes on the condition that the document is unchanged since it was read. The
// put of LastChangeKey comes last, because the first put must be the document's. If the transaction
// deletes the document, the put of LastChangeKey is the only one.
func (operator *Operator) commit(ctx context.Context, current *store.KeyValue, lastChange *catalog.LastChange, linked linkedWrites) (int64, error) {
	value, err := catalog.EncodeLastChange(lastChange)
	if err != nil {
		return 0, err
	}
	lastChangePut := store.Put{Key: catalog.LastChangeKey, Value: value}
	puts := append(linked.puts, lastChangePut)
	if len(linked.deletes) > 0 && slices.Contains(linked.deletes, current.Key) {
		puts = []store.Put{lastChangePut}
	}
	revision, err := operator.client.Commit(ctx, store.Transaction{
		WriteID:    lastChange.WriteID,
		Conditions: append([]store.Condition{current.UnchangedCondition()}, linked.conditions...),
		Puts:       puts,
		Deletes:    linked.deletes,
	})
	return revision, operator.explainConflict(ctx, err, current)
}

// writeID returns a new write ID, which contains the operator's identity.
func (operator *Operator) writeID() string { return operator.identity + "/" + operator.newID() }

// badInput marks err as ErrBadInput.
func badInput(err error) error { return errors.Mark(err, ErrBadInput) }

// writeIDField is the name of the field that contains the write ID and therefore differs in every
// write.
const writeIDField = "write_id"

// differingFields returns the names of the top-level fields in which two documents differ, sorted.
func differingFields(old, new []byte) []string {
	var before, after map[string]json.RawMessage
	_ = json.Unmarshal(old, &before) // a value that is not a JSON object counts as having no fields
	_ = json.Unmarshal(new, &after)
	var names []string
	for name, value := range after {
		if name != writeIDField && string(before[name]) != string(value) {
			names = append(names, name)
		}
	}
	for name := range before {
		if _, kept := after[name]; !kept && name != writeIDField {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
