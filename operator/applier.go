package operator

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/audit"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// maxRecentChanges is the number of accepted changes that a wire.CurrentConfig lists.
const maxRecentChanges = 64

// Applier puts configuration files in force by writing them to the platform.
type Applier struct {
	store   *storage.Store
	now     func() time.Time
	audit   func(audit.Entry)
	backoff []storage.BackoffOption
}

// ApplierOption configures an Applier.
type ApplierOption func(*Applier)

// WithClock is a functional option that replaces the clock of an Applier.
func WithClock(now func() time.Time) ApplierOption {
	return func(a *Applier) { a.now = now }
}

// WithAudit is a functional option that sets a function to call with the audit
// entry of each accepted change. It may be called with the same entry several times.
func WithAudit(add func(audit.Entry)) ApplierOption {
	return func(a *Applier) { a.audit = add }
}

// WithBackoff is a functional option that configures the waits between
// repeated calls to the platform.
func WithBackoff(opts ...storage.BackoffOption) ApplierOption {
	return func(a *Applier) { a.backoff = append(a.backoff, opts...) }
}

// NewApplier returns an Applier that writes to store.
func NewApplier(store *storage.Store, opts ...ApplierOption) *Applier {
	a := &Applier{store: store, now: time.Now, audit: func(audit.Entry) {}}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Apply puts the file of req in force if the configuration that it was made from
// is still in force. sections are the parts of the text, in order. During outages
// of the platform, Apply retries until ctx ends.
//
// The error is a *ConflictError if another configuration is in force, ErrBadRequest
// for a malformed request, ErrUnavailable if ctx ended before the file can have been
// accepted, and ErrUnknown if ctx ended while the outcome of a write was unknown.
func (a *Applier) Apply(ctx context.Context, req ApplyRequest, sections [][]byte) (ApplyReply, error) {
	if err := req.Validate(); err != nil {
		return ApplyReply{}, err
	}
	if !bytes.Equal(bytes.Join(sections, nil), req.Text) {
		return ApplyReply{}, fmt.Errorf("%w: joined sections differ from the text", ErrBadRequest)
	}
	row, current, err := a.current(ctx)
	if err != nil {
		return ApplyReply{}, unavailable("read the configuration in force", err)
	}
	if current.Number > 0 {
		// The daemon that accepted it may have stopped before it wrote the audit
		// entry.
		a.audit(auditEntry(current))
	}
	if number, ok := acceptedNumber(current, req.Change); ok {
		return repeatedReply(req, current, number)
	}
	if current.Number != req.Base {
		return ApplyReply{}, conflictError(current)
	}
	next := a.next(req, current, sections)
	if err := a.putSections(ctx, current, next, sections); err != nil {
		return ApplyReply{}, unavailable("store the sections", err)
	}
	return a.transact(ctx, row.Version, next)
}

// current reads the row of the configuration in force. If there is no such row, it
// returns zero values.
func (a *Applier) current(ctx context.Context) (storage.Row, wire.CurrentConfig, error) {
	var row storage.Row
	var current wire.CurrentConfig
	err := storage.Retry(ctx, func() (err error) {
		row, err = a.store.Get(ctx, routes.ConfigKey)
		return err
	}, a.backoff...)
	if errors.Is(err, storage.ErrMissing) {
		return storage.Row{}, current, nil
	}
	if err != nil {
		return row, current, fmt.Errorf("get %s: %w", routes.ConfigKey, err)
	}
	if err := wire.Decode(row.Value, &current); err != nil {
		return row, current, fmt.Errorf("get %s: %w", routes.ConfigKey, err)
	}
	return row, current, nil
}

// next returns the configuration that follows current.
func (a *Applier) next(req ApplyRequest, current wire.CurrentConfig, sections [][]byte) wire.CurrentConfig {
	next := wire.CurrentConfig{
		Number: current.Number + 1,
		Digest: Digest(req.Text),
		Author: req.Author,
		At:     a.now().UTC().Round(0),
		Change: req.Change,
	}
	for _, s := range sections {
		next.SectionDigests = append(next.SectionDigests, Digest(s))
	}
	next.RecentChanges = append(next.RecentChanges, wire.AcceptedChange{Number: next.Number, Change: req.Change})
	next.RecentChanges = append(next.RecentChanges, current.RecentChanges[:min(len(current.RecentChanges), maxRecentChanges-1)]...)
	return next
}

// putSections stores the sections of next that are not part of current.
func (a *Applier) putSections(ctx context.Context, current, next wire.CurrentConfig, sections [][]byte) error {
	stored := make(map[string]struct{}, len(current.SectionDigests)+len(sections))
	for _, digest := range current.SectionDigests {
		stored[digest] = struct{}{}
	}
	for i, digest := range next.SectionDigests {
		if _, ok := stored[digest]; ok {
			continue
		}
		err := storage.Retry(ctx, func() error {
			return a.store.PutObject(ctx, ObjectName(digest), sections[i])
		}, a.backoff...)
		if err != nil {
			return fmt.Errorf("put section %d: %w", i, err)
		}
		stored[digest] = struct{}{}
	}
	return nil
}

// transact replaces the row with next, on condition that it still has the given
// version.
func (a *Applier) transact(ctx context.Context, version uint64, next wire.CurrentConfig) (ApplyReply, error) {
	value, err := wire.Encode(&next)
	if err != nil {
		return ApplyReply{}, fmt.Errorf("encode configuration: %w", err)
	}
	var latest wire.CurrentConfig
	outcome := storage.Settle(ctx, a.store, storage.Transaction{
		ID:         next.Change,
		Conditions: []storage.Condition{{Key: routes.ConfigKey, Version: version}},
		Writes:     []storage.Write{{Key: routes.ConfigKey, Value: value}},
	}, func(row storage.Row) bool {
		latest = wire.CurrentConfig{}
		if err := wire.Decode(row.Value, &latest); err != nil {
			return false
		}
		_, ok := acceptedNumber(latest, next.Change)
		return ok
	}, a.backoff...)
	switch outcome.Verdict {
	case storage.Applied:
		if _, ok := acceptedNumber(latest, next.Change); !ok {
			latest = next
		}
		a.audit(auditEntry(latest))
		return ApplyReply{Number: next.Number}, nil
	case storage.Lost:
		return ApplyReply{}, conflictError(latest)
	}
	if outcome.Unanswered == 0 {
		return ApplyReply{}, unavailable("write the configuration", outcome.Err)
	}
	return ApplyReply{}, fmt.Errorf("%w: %w", ErrUnknown, outcome.Err)
}

// acceptedNumber returns the number of the configuration that the change put in
// force, and false if current does not list the change.
func acceptedNumber(current wire.CurrentConfig, change string) (uint64, bool) {
	if current.Number > 0 && current.Change == change {
		return current.Number, true
	}
	for _, r := range current.RecentChanges {
		if r.Change == change {
			return r.Number, true
		}
	}
	return 0, false
}

// repeatedReply returns the reply to a repeated request whose change was accepted as
// number. It returns ErrBadRequest if the request differs from the accepted one.
func repeatedReply(req ApplyRequest, current wire.CurrentConfig, number uint64) (ApplyReply, error) {
	if number != req.Base+1 || (number == current.Number && current.Digest != Digest(req.Text)) {
		return ApplyReply{}, fmt.Errorf("%w: the request ID was used by another request, accepted as configuration %d", ErrBadRequest, number)
	}
	return ApplyReply{Number: number, Already: true}, nil
}

func conflictError(current wire.CurrentConfig) *ConflictError {
	return &ConflictError{Number: current.Number, Author: current.Author, At: current.At.UTC()}
}

// auditEntry returns the audit entry of the change that put current in force. It
// depends on current only, so that every daemon writes the same entry.
func auditEntry(current wire.CurrentConfig) audit.Entry {
	return audit.Entry{
		At:      current.At,
		Who:     current.Author,
		What:    audit.Config,
		Subject: routes.ConfigKey,
		From:    strconv.FormatUint(current.Number-1, 10),
		To:      strconv.FormatUint(current.Number, 10),
		Why:     "apply of " + current.Digest,
		Change:  current.Change,
	}
}

// unavailable adds ErrUnavailable to err if the platform gave no answer, which means
// that nothing was put in force.
func unavailable(operation string, err error) error {
	if errors.Is(err, storage.ErrUnavailable) {
		return fmt.Errorf("%w: %s: %w", ErrUnavailable, operation, err)
	}
	return fmt.Errorf("%s: %w", operation, err)
}
