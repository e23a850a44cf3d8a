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

// ConcurrentChangeError reports that another operator changed a document after it was read, and
// describes that change.
type ConcurrentChangeError struct {
	Key string
	// By is the identity of the other operator; empty if unknown.
	By string
	// Revision is the store revision of the other change; 0 if unknown, which is possible only for
	// deletions.
	Revision int64
	Deleted  bool
	Fields   []string // fields that the other change modified
	cause    error
}

// Error names the document, the other operator and the modified fields.
func (err *ConcurrentChangeError) Error() string {
	changedBy := "someone"
	if err.By != "" {
		changedBy = err.By
	}
	change := "was changed by " + changedBy
	if err.Deleted {
		change = "was deleted by " + changedBy
	}
	if err.Revision > 0 {
		change += fmt.Sprintf(" at revision %d", err.Revision)
	}
	if len(err.Fields) > 0 {
		change += " (" + strings.Join(err.Fields, ", ") + ")"
	}
	return fmt.Sprintf("conflict: %s %s since it was read; nothing was written", err.Key, change)
}

// Unwrap returns the store's error.
func (err *ConcurrentChangeError) Unwrap() error { return err.cause }

// explainConflict converts a conflict error of the store into an error that describes the other
// change. It returns other errors unchanged.
func (operator *Operator) explainConflict(ctx context.Context, err error, previous *store.KeyValue) error {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	key, current := conflict.Condition.Key, &conflict.Current
	if frontend, found := strings.CutPrefix(key, catalog.FrontendPrefix); found {
		return errors.Wrapf(err, "front end %s belongs to service %q", frontend, current.Value)
	}
	conflicting := &ConcurrentChangeError{Key: key, Revision: current.ModRevision, Deleted: !current.Exists(), cause: err}
	if current.Exists() {
		conflicting.By = writerOf(current.Value)
		conflicting.Fields = differingFields(previous.Value, current.Value)
		return conflicting
	}
	conflicting.By, conflicting.Revision = operator.deleterOf(ctx, key)
	return conflicting
}

// writerOf returns the identity in a document's write ID.
func writerOf(value []byte) string {
	var document struct {
		WriteID string `json:"write_id"`
	}
	_ = json.Unmarshal(value, &document) // the identity of an invalid document is empty
	identity, _, _ := strings.Cut(document.WriteID, "/")
	return identity
}

// deleterOf returns the identity of the operator who deleted the key and the revision of the
// deletion. Both are zero unless this deletion was the last change of the whole configuration.
func (operator *Operator) deleterOf(ctx context.Context, key string) (string, int64) {
	current, err := operator.client.Get(ctx, catalog.LastChangeKey)
	if err != nil || !current.Exists() {
		return "", 0
	}
	last, err := catalog.DecodeLastChange(current.Value)
	if err != nil || last.Key != key {
		return "", 0
	}
	return last.By, current.ModRevision
}
