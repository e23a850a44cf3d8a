package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/store"
)

// LostRaceError says that another change came first, and which.
type LostRaceError struct {
	Key string
	// By is the other operator; empty where it is not known.
	By string
	// Revision of the other change; 0 where it is not known (a deletion).
	Revision int64
	Deleted  bool
	Fields   []string // what the other change differs in
	cause    error
}

// Error names the document, the other operator and the fields.
func (err *LostRaceError) Error() string {
	by := "someone"
	if err.By != "" {
		by = err.By
	}
	what := "was changed by " + by
	if err.Deleted {
		what = "was deleted by " + by
	}
	if err.Revision > 0 {
		what += fmt.Sprintf(" at revision %d", err.Revision)
	}
	if len(err.Fields) > 0 {
		what += " (" + strings.Join(err.Fields, ", ") + ")"
	}
	return fmt.Sprintf("conflict: %s %s since it was read; nothing was written", err.Key, what)
}

// Unwrap gives the store's error.
func (err *LostRaceError) Unwrap() error { return err.cause }

// explain turns the store's conflict into one that names the other change.
func (operator *Operator) explain(ctx context.Context, err error, read *store.KeyValue) error {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	key, current := conflict.Condition.Key, &conflict.Current
	if frontend, found := strings.CutPrefix(key, catalog.FrontendPrefix); found {
		return errors.Wrapf(err, "front end %s belongs to service %q", frontend, current.Value)
	}
	lost := &LostRaceError{Key: key, Revision: current.ModRevision, Deleted: !current.Exists(), cause: err}
	if current.Exists() {
		lost.By = writerOf(current.Value)
		lost.Fields = differingFields(read.Value, current.Value)
		return lost
	}
	lost.By, lost.Revision = operator.deleterOf(ctx, key)
	return lost
}

// writerOf gives the identity in a document's write id.
func writerOf(value []byte) string {
	var document struct {
		WriteID string `json:"write_id"`
	}
	_ = json.Unmarshal(value, &document) // an invalid document has no writer
	identity, _, _ := strings.Cut(document.WriteID, "/")
	return identity
}

// deleterOf gives who deleted the key, if that was the last change of all.
func (operator *Operator) deleterOf(ctx context.Context, key string) (string, int64) {
	read, err := operator.client.Get(ctx, catalog.LastChangeKey)
	if err != nil || !read.Exists() {
		return "", 0
	}
	last, err := catalog.DecodeLastChange(read.Value)
	if err != nil || last.Key != key {
		return "", 0
	}
	return last.By, read.ModRevision
}
