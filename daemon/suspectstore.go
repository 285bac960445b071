package daemon

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/logs"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

const (
	// suspectPrefix starts the key of the row of each request that is shut out.
	suspectPrefix = "suspects/"
	// suspectStoreRetry is the time between two tries to store a request that is shut out.
	suspectStoreRetry = time.Second
	// suspectStoreTimeout bounds a try.
	suspectStoreTimeout = 2 * time.Second
)

// suspectStore tracks which requests that are shut out are stored at the platform, so that daemons
// that start all at once know them.
type suspectStore struct {
	mu sync.Mutex
	// stored holds the value that was stored last, and the timeline of the store that it is in.
	stored map[wire.Fingerprint]storedSuspect
	// woken wakes storeSuspects.
	woken chan struct{}
}

func newSuspectStore() *suspectStore {
	return &suspectStore{stored: make(map[wire.Fingerprint]storedSuspect), woken: make(chan struct{}, 1)}
}

type storedSuspect struct {
	value    []byte
	timeline uint64
}

// wake has the requests that are shut out stored.
func (s *suspectStore) wake() {
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

func suspectKey(f wire.Fingerprint) string { return suspectPrefix + hex.EncodeToString(f[:]) }

// storeSuspects stores the requests that are shut out, until ctx ends. Only the daemons beside the
// targets that have ended under a request write its row.
func (d *Daemon) storeSuspects(ctx context.Context) error {
	timer := time.NewTimer(suspectStoreRetry)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.suspects.store.woken:
		case <-timer.C:
		}
		if err := d.storeOwnSuspects(ctx); err != nil && ctx.Err() == nil {
			d.logStateChange(logs.EventSuspectNotStored, "", logs.FieldErr, err)
		}
		timer.Reset(suspectStoreRetry)
	}
}

// storeOwnSuspects writes the rows of requests that are shut out, and removes those of requests that are no
// longer suspects.
func (d *Daemon) storeOwnSuspects(ctx context.Context) error {
	now := time.Now()
	ledger, stored := d.suspects.ledger, d.suspects.store
	stored.mu.Lock()
	defer stored.mu.Unlock()
	for _, s := range ledger.ShutOut(now) {
		if !d.isAccuser(&s) {
			continue
		}
		if err := d.storeSuspect(ctx, &s); err != nil {
			return err
		}
	}
	for f := range stored.stored {
		if ledger.Verdict(now, f).Suspect() {
			continue
		}
		if err := d.removeSuspect(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

// isAccuser reports whether one of the crashes is that of a target of this instance.
func (d *Daemon) isAccuser(s *wire.Suspect) bool {
	for _, c := range s.Crashes {
		if strings.HasPrefix(c.Process, d.settings.Instance+"/") {
			return true
		}
	}
	return false
}

// storeSuspect writes the row of a suspect if it differs from what is known to be stored. The caller
// holds the lock.
func (d *Daemon) storeSuspect(ctx context.Context, s *wire.Suspect) error {
	value, err := wire.Encode(s)
	if err != nil {
		return fmt.Errorf("encode suspect: %w", err)
	}
	timeline := d.store.Timeline()
	known, ok := d.suspects.store.stored[s.Fingerprint]
	if ok && known.timeline == timeline && bytes.Equal(known.value, value) {
		return nil
	}
	if err := d.writeSuspect(ctx, s.Fingerprint, storage.Write{Key: suspectKey(s.Fingerprint), Value: value}); err != nil {
		return err
	}
	d.suspects.store.stored[s.Fingerprint] = storedSuspect{value: value, timeline: timeline}
	return nil
}

// removeSuspect removes the row of a request that is no longer shut out. The caller holds the lock.
func (d *Daemon) removeSuspect(ctx context.Context, f wire.Fingerprint) error {
	if err := d.writeSuspect(ctx, f, storage.Write{Key: suspectKey(f), Delete: true}); err != nil {
		return err
	}
	delete(d.suspects.store.stored, f)
	return nil
}

// writeSuspect replaces or removes the row of a suspect. Daemons that write the same row at the same
// time merge what they know later, and write again.
func (d *Daemon) writeSuspect(ctx context.Context, f wire.Fingerprint, w storage.Write) error {
	ctx, cancel := context.WithTimeout(ctx, suspectStoreTimeout)
	defer cancel()
	timeline := d.store.Timeline()
	row, err := d.store.Get(ctx, suspectKey(f))
	switch {
	case errors.Is(err, storage.ErrMissing) && w.Delete:
		return nil
	case err != nil && !errors.Is(err, storage.ErrMissing):
		return fmt.Errorf("read suspect: %w", err)
	case err == nil && !w.Delete && bytes.Equal(row.Value, w.Value):
		return nil
	}
	if storage.TimelineOf(row.Version) != timeline {
		row.Version = 0
	}
	tx := storage.Transaction{
		ID: newID(), Timeline: timeline, Writes: []storage.Write{w},
		Conditions: []storage.Condition{{Key: suspectKey(f), Version: row.Version}},
	}
	result, err := d.store.Transact(ctx, tx)
	if err != nil {
		return fmt.Errorf("store suspect: %w", err)
	}
	if !result.Applied {
		return errors.New("row of the suspect was changed meanwhile")
	}
	return nil
}

// takeSuspects merges the rows of suspects that were read from the platform, and returns the others.
// What has expired is removed by the instance that wrote it.
func (d *Daemon) takeSuspects(rows []wire.Row) []wire.Row {
	var others []wire.Row
	var read []wire.Suspect
	now := time.Now()
	for _, r := range rows {
		if !strings.HasPrefix(r.Key, suspectPrefix) {
			others = append(others, r)
			continue
		}
		if r.Deleted {
			continue
		}
		var s wire.Suspect
		err := wire.Decode(r.Value, &s)
		if err != nil || suspectKey(s.Fingerprint) != r.Key {
			d.log.Warn(logs.EventRowSkipped, logs.FieldKey, r.Key, logs.FieldErr, err)
			continue
		}
		read = append(read, s)
	}
	d.logSuspects(d.suspects.ledger.Merge(now, read))
	d.suspects.loaded.Store(true)
	stored := d.suspects.store
	stored.mu.Lock()
	defer stored.mu.Unlock()
	for _, s := range read {
		if d.isAccuser(&s) {
			// The row is compared with what is known, and removed once it is no longer needed.
			stored.stored[s.Fingerprint] = storedSuspect{}
		}
	}
	return others
}
