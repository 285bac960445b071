package storage

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrMissing is returned by Get and GetObject if there is nothing there.
	ErrMissing = errors.New("no such row or object")
	// ErrUnavailable is returned if the platform gave no answer. A transaction
	// that ends so may or may not have been applied, now or later.
	ErrUnavailable = errors.New("platform gave no answer")
	// ErrRejected is returned if the platform refused a call for good.
	ErrRejected = errors.New("platform rejected the call")
)

// Row is a row of the table. Version rises with each change of the row and
// never falls, also across a deletion.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Condition holds if the row at Key is at Version; zero means no such row.
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

// Transaction applies all writes if all conditions hold, or nothing.
type Transaction struct {
	// ID is the request ID; it is also part of each row written, so that the
	// effect of a write whose reply was lost can be recognized.
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Result tells what became of a transaction. Rows holds the rows it names as
// they are after it, applied or not; a missing row has version zero.
type Result struct {
	Applied bool  `json:"applied"`
	Rows    []Row `json:"rows"`
}

// Store is the narrow seam to the platform's table and object store. Each field
// is one call; a test replaces those that it wants to fail.
type Store struct {
	// Get reads one row.
	Get func(ctx context.Context, key string) (Row, error)
	// List reads up to limit rows whose keys start with prefix and are greater
	// than after, in key order.
	List func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Transact applies a conditional transaction.
	Transact func(ctx context.Context, tx Transaction) (Result, error)
	// PutObject stores an object under a name that is never reused for other
	// content.
	PutObject func(ctx context.Context, name string, data []byte) error
	// GetObject reads an object.
	GetObject func(ctx context.Context, name string) ([]byte, error)
	// ListObjects names up to limit objects in name order, after the given name.
	ListObjects func(ctx context.Context, prefix, after string, limit int) ([]string, error)
	// LastAnswer tells when the platform last gave an answer to any call; it is
	// zero before the first.
	LastAnswer func() time.Time
}
