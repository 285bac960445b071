package storage

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrMissing is returned by Get and GetObject if the row or object does not
	// exist.
	ErrMissing = errors.New("no such row or object")
	// ErrUnavailable is returned if the platform gave no answer. The transaction
	// may have been applied, or may be applied later.
	ErrUnavailable = errors.New("platform gave no answer")
	// ErrRejected is returned if the platform refused a call permanently.
	ErrRejected = errors.New("platform rejected the call")
	// ErrRestored is returned for a transaction of an earlier timeline than that of the
	// platform. Whether it was applied before the platform was restored no longer matters.
	ErrRestored = errors.New("platform was restored from a copy")
)

// Row is a row of the table. Version increases with each change of the row and
// never decreases, not even across a deletion or if the platform is restored from a copy.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	// Cursor is the value of after with which List continues behind this row; empty if it
	// is Key.
	Cursor string `json:"-"`
}

// Next returns the value of after with which List continues behind the row.
func (r Row) Next() string {
	if r.Cursor != "" {
		return r.Cursor
	}
	return r.Key
}

// Condition holds if the row at Key has the given Version; zero means that the
// row does not exist, or has not been written in the timeline of the transaction.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write replaces the row at Key, or deletes it.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction applies all writes if all conditions hold, and none otherwise.
type Transaction struct {
	// ID is the request ID. Callers also store it in each row that they write, to
	// recognize the effect of a write whose response was lost.
	ID string `json:"id"`
	// Timeline is the timeline that the conditions were read in. In a later one, the
	// platform does not apply the transaction and ErrRestored is returned.
	Timeline   uint64      `json:"timeline,omitempty"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Result is the result of a transaction. Rows holds the rows that the
// transaction names, in their state after it, whether it was applied or not; a
// missing row has version zero.
type Result struct {
	Applied bool  `json:"applied"`
	Rows    []Row `json:"rows"`
}

// Store is the interface to the platform's table and object store. Each field
// is one call; a test replaces the calls that are to fail.
type Store struct {
	// Get reads one row.
	Get func(ctx context.Context, key string) (Row, error)
	// List reads up to limit rows whose keys start with prefix and are greater
	// than after, in key order; see Row.Next. A row that was written in several timelines
	// may be listed once for each.
	List func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Transact applies a conditional transaction.
	Transact func(ctx context.Context, tx Transaction) (Result, error)
	// PutObject stores an object under a name that is never reused for other
	// content.
	PutObject func(ctx context.Context, name string, data []byte) error
	// GetObject reads an object.
	GetObject func(ctx context.Context, name string) ([]byte, error)
	// ListObjects returns up to limit names of objects that start with prefix and
	// are greater than after, in order.
	ListObjects func(ctx context.Context, prefix, after string, limit int) ([]string, error)
	// LastAnswer returns the time of the platform's last answer to any call, or
	// the zero time before the first.
	LastAnswer func() time.Time
	// Timeline returns how often the platform had been restored from a copy by the
	// latest of its answers.
	Timeline func() uint64
}
