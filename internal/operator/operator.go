// Package operator carries out the operators' commands: it reads and changes
// the configuration in the store, tells what is in force, and waits for it.
// Each change is one compare-and-swap on the document as it was read; a lost
// race is an error that names the other change, never a success.
package operator

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/store"
)

// Errors of commands, to be told apart with errors.Is; those of the store are
// in package store.
var (
	// ErrBadInput: the command's own input is invalid.
	ErrBadInput = errors.New("bad input")
	// ErrNotFound: the named object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrExists: an object of that name exists already.
	ErrExists = errors.New("exists already")
	// ErrWaitTimeout: the change was not in force everywhere in time.
	ErrWaitTimeout = errors.New("not in force in time")
)

// Operator changes the configuration in the name of one person.
type Operator struct {
	client *store.Client
	// identity names the person, e.g. "ana@desk-7".
	identity string
	// newID gives the unique part of write ids.
	newID func() string
}

// New gives an operator. Each call of newID gives another text.
func New(client *store.Client, identity string, newID func() string) *Operator {
	return &Operator{client: client, identity: identity, newID: newID}
}

// Change is the result of a command that changes one object.
type Change struct {
	Kind   string `json:"kind"` // "service", "backend" or "zone"
	Name   string `json:"name"`
	Action string `json:"action"` // "created", "changed", "deleted" or "unchanged"
	// Revision of the store at which the object became as it is.
	Revision int64 `json:"revision"`
}

// Actions of a Change.
const (
	ActionCreated   = "created"
	ActionChanged   = "changed"
	ActionDeleted   = "deleted"
	ActionUnchanged = "unchanged"
)

// kind is how one kind of document is handled.
type kind[Document any] struct {
	noun       string
	key        func(name string) string
	decode     func(key string, value []byte) (Document, error)
	encode     func(document *Document) ([]byte, error)
	setWriteID func(document *Document, id string)
	// related gives the conditions and writes that go with changing the
	// document from old to new; nil is one that does not exist or is invalid.
	related func(ctx context.Context, operator *Operator, name string, old, new *Document) (related, error)
}

// related is part of a transaction.
type related struct {
	conditions []store.Condition
	puts       []store.Put
	deletes    []string
}

// stored is a document as it was read.
type stored[Document any] struct {
	document Document
	read     store.KeyValue
}

// load reads and decodes one document.
func load[Document any](ctx context.Context, operator *Operator, kind *kind[Document], name string) (stored[Document], error) {
	var result stored[Document]
	read, err := operator.client.Get(ctx, kind.key(name))
	if err != nil {
		return result, err
	}
	if !read.Exists() {
		return result, errors.Wrapf(ErrNotFound, "%s %q", kind.noun, name)
	}
	document, err := kind.decode(read.Key, read.Value)
	return stored[Document]{document: document, read: read}, errors.Wrapf(err, "stored %s %q is invalid", kind.noun, name)
}

// create adds a document that must not exist.
func create[Document any](ctx context.Context, operator *Operator, kind *kind[Document], name string, document Document) (Change, error) {
	if _, err := kind.encode(&document); err != nil {
		return Change{}, badInput(err)
	}
	read, err := operator.client.Get(ctx, kind.key(name))
	if err != nil {
		return Change{}, err
	}
	if read.Exists() {
		return Change{}, errors.Wrapf(ErrExists, "%s %q, since revision %d", kind.noun, name, read.CreateRevision)
	}
	return write(ctx, operator, kind, name, stored[Document]{read: read}, &document)
}

// edit changes a document that exists.
func edit[Document any](ctx context.Context, operator *Operator, kind *kind[Document], name string, change func(*Document) error) (Change, error) {
	old, err := load(ctx, operator, kind, name)
	if err != nil {
		return Change{}, err
	}
	edited, err := kind.decode(old.read.Key, old.read.Value) // a copy that shares nothing
	if err != nil {
		return Change{}, err
	}
	if err := change(&edited); err != nil {
		return Change{}, badInput(err)
	}
	return write(ctx, operator, kind, name, old, &edited)
}

// write puts the document in place of the one that was read, if there was one.
func write[Document any](ctx context.Context, operator *Operator, kind *kind[Document], name string, old stored[Document], document *Document) (Change, error) {
	id := operator.writeID()
	kind.setWriteID(document, id)
	value, err := kind.encode(document)
	if err != nil {
		return Change{}, badInput(err)
	}
	action := ActionChanged
	var before *Document
	if !old.read.Exists() {
		action = ActionCreated
	} else {
		before = &old.document
	}
	fields := differingFields(old.read.Value, value)
	if old.read.Exists() && len(fields) == 0 {
		return Change{Kind: kind.noun, Name: name, Action: ActionUnchanged, Revision: old.read.ModRevision}, nil
	}
	extra, err := kind.related(ctx, operator, name, before, document)
	if err != nil {
		return Change{}, err
	}
	extra.puts = append([]store.Put{{Key: old.read.Key, Value: value}}, extra.puts...)
	note := catalog.LastChange{WriteID: id, By: operator.identity, Action: action, Key: old.read.Key, Fields: fields}
	revision, err := operator.commit(ctx, &old.read, &note, extra)
	return Change{Kind: kind.noun, Name: name, Action: action, Revision: revision}, err
}

// remove deletes a document, valid or not.
func remove[Document any](ctx context.Context, operator *Operator, kind *kind[Document], name string) (Change, error) {
	read, err := operator.client.Get(ctx, kind.key(name))
	if err != nil {
		return Change{}, err
	}
	if !read.Exists() {
		return Change{}, errors.Wrapf(ErrNotFound, "%s %q", kind.noun, name)
	}
	var old *Document
	if document, err := kind.decode(read.Key, read.Value); err == nil {
		old = &document
	}
	extra, err := kind.related(ctx, operator, name, old, nil)
	if err != nil {
		return Change{}, err
	}
	extra.deletes = append(extra.deletes, read.Key)
	note := catalog.LastChange{WriteID: operator.writeID(), By: operator.identity, Action: ActionDeleted, Key: read.Key}
	revision, err := operator.commit(ctx, &read, &note, extra)
	return Change{Kind: kind.noun, Name: name, Action: ActionDeleted, Revision: revision}, err
}

// commit runs the transaction on the document as it was read. The note of the
// change is the last put, so that the first one is the document's, if there is one.
func (operator *Operator) commit(ctx context.Context, read *store.KeyValue, note *catalog.LastChange, extra related) (int64, error) {
	value, err := catalog.EncodeLastChange(note)
	if err != nil {
		return 0, err
	}
	noted := store.Put{Key: catalog.LastChangeKey, Value: value}
	puts := append(extra.puts, noted)
	if len(extra.deletes) > 0 && slices.Contains(extra.deletes, read.Key) {
		puts = []store.Put{noted}
	}
	revision, err := operator.client.Commit(ctx, store.Transaction{
		WriteID:    note.WriteID,
		Conditions: append([]store.Condition{read.UnchangedCondition()}, extra.conditions...),
		Puts:       puts,
		Deletes:    extra.deletes,
	})
	return revision, operator.explain(ctx, err, read)
}

func (operator *Operator) writeID() string { return operator.identity + "/" + operator.newID() }

func badInput(err error) error { return errors.Mark(err, ErrBadInput) }

// writeIDField is the field that differs in every write.
const writeIDField = "write_id"

// differingFields names the top-level fields in which two documents differ.
func differingFields(old, new []byte) []string {
	var before, after map[string]json.RawMessage
	_ = json.Unmarshal(old, &before) // one that is no object has no fields
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
