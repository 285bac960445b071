package storage

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
)

// ErrUnguarded is returned if a retry of a transaction could be applied a second
// time, because none of its writes makes one of its conditions false.
var ErrUnguarded = errors.New("no write is guarded by a condition on its own row")

// Verdict says whether a transaction was applied.
type Verdict uint8

const (
	// Unknown means that the transaction may have been applied, or may be applied
	// later.
	Unknown Verdict = iota
	// Applied means that it was applied exactly once.
	Applied
	// Lost means that another transaction changed a row first, so that this
	// one can never be applied.
	Lost
)

// String returns the verdict in lower case.
func (v Verdict) String() string {
	switch v {
	case Applied:
		return "applied"
	case Lost:
		return "lost"
	default:
		return "unknown"
	}
}

// Outcome is the result of Settle for a transaction.
type Outcome struct {
	Verdict Verdict
	// Rows holds the rows of the platform's last answer; it is empty if there was
	// no answer.
	Rows []Row
	// Unanswered counts the attempts without an answer. After any such attempt, a
	// verdict of Lost is only as reliable as the recognize function: if the write
	// was applied and then overwritten, only the content of the later row can
	// show that it was applied.
	Unanswered int
	// Err is the reason for a verdict of Unknown, and nil otherwise.
	Err error
}

// Settle retries tx until its outcome is known or ctx ends. recognize reports
// whether a row that tx writes shows that tx was applied, usually because it
// contains the request ID of tx. For a missing row, it is called with version
// zero.
//
// The verdict is Unknown if ctx ends. It is Unknown without a retry if the platform
// rejects tx, and without any attempt if tx is unguarded; see ErrUnguarded.
func Settle(ctx context.Context, store *Store, tx Transaction, recognize func(Row) bool, opts ...BackoffOption) Outcome {
	if !guarded(tx) {
		return Outcome{Err: ErrUnguarded}
	}
	var out Outcome
	backoff := NewBackoff(opts...)
	for {
		result, err := store.Transact(ctx, tx)
		switch {
		case err == nil:
			out.Rows = result.Rows
			out.Verdict = verdictOf(tx, result, recognize)
		case errors.Is(err, ErrUnavailable):
			out.Unanswered++
		default:
			out.Err = fmt.Errorf("settle %s: %w", tx.ID, err)
			return out
		}
		if out.Verdict != Unknown {
			return out
		}
		if err := backoff.Wait(ctx); err != nil {
			out.Err = fmt.Errorf("settle %s: %w", tx.ID, err)
			return out
		}
	}
}

// verdictOf returns the verdict that follows from one result.
func verdictOf(tx Transaction, result Result, recognize func(Row) bool) Verdict {
	if result.Applied {
		return Applied
	}
	for _, w := range tx.Writes {
		if row, ok := findRow(result.Rows, w.Key); ok && recognize(row) {
			return Applied
		}
	}
	for _, c := range tx.Conditions {
		if row, ok := findRow(result.Rows, c.Key); ok && neverHoldsAgain(c, row) {
			return Lost
		}
	}
	return Unknown
}

// neverHoldsAgain reports whether the row has passed the version of c, so that c
// can never hold again.
func neverHoldsAgain(c Condition, row Row) bool {
	if row.Version == 0 {
		return c.Version != 0
	}
	return row.Version > c.Version
}

// guarded reports whether applying tx makes one of its conditions false.
func guarded(tx Transaction) bool {
	if len(tx.Writes) == 0 {
		return true
	}
	for _, w := range tx.Writes {
		for _, c := range tx.Conditions {
			if c.Key == w.Key && (!w.Delete || c.Version != 0) {
				return true
			}
		}
	}
	return false
}

func findRow(rows []Row, key string) (Row, bool) {
	for _, r := range rows {
		if r.Key == key {
			return r, true
		}
	}
	return Row{}, false
}
