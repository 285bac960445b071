package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"fulmarrun/storage"
)

const (
	// pageSize is the maximum number of names that one call lists.
	pageSize = 1000
	// initialWindow is the first time window before now that Newest searches.
	initialWindow = time.Hour
	// windowGrowth is the factor by which Newest extends the time window.
	windowGrowth = 8
	// maxWindow is the largest time window that Newest searches before it searches
	// all entries.
	maxWindow = 365 * 24 * time.Hour
)

// List returns up to limit entries, oldest first, starting at the time from.
func List(ctx context.Context, store *storage.Store, from time.Time, limit int) ([]Entry, error) {
	names, err := store.ListObjects(ctx, Prefix, timePrefix(from), limit)
	if err != nil {
		return nil, fmt.Errorf("list audit entries: %w", err)
	}
	return readEntries(ctx, store, names)
}

// Newest returns up to limit entries, newest first. It searches growing time windows
// that start before now, since the platform lists names in ascending order only. The
// windows have no end, so entries with a time after now are included.
func Newest(ctx context.Context, store *storage.Store, now time.Time, limit int) ([]Entry, error) {
	for window := initialWindow; ; window *= windowGrowth {
		unlimited := window > maxWindow
		after := Prefix
		if !unlimited {
			after = timePrefix(now.Add(-window))
		}
		names, err := lastNames(ctx, store, after, limit)
		if err != nil {
			return nil, err
		}
		if len(names) < limit && !unlimited {
			continue
		}
		entries, err := readEntries(ctx, store, names)
		slices.Reverse(entries)
		return entries, err
	}
}

// lastNames returns the last limit names that are greater than after, in ascending
// order.
func lastNames(ctx context.Context, store *storage.Store, after string, limit int) ([]string, error) {
	var names []string
	for {
		page, err := store.ListObjects(ctx, Prefix, after, pageSize)
		if err != nil {
			return nil, fmt.Errorf("list audit entries: %w", err)
		}
		names = append(names, page...)
		names = names[max(0, len(names)-limit):]
		if len(page) < pageSize {
			return names, nil
		}
		after = page[len(page)-1]
	}
}

func readEntries(ctx context.Context, store *storage.Store, names []string) ([]Entry, error) {
	entries := make([]Entry, 0, len(names))
	for _, name := range names {
		data, err := store.GetObject(ctx, name)
		if err != nil {
			return nil, fmt.Errorf("get %s: %w", name, err)
		}
		var e Entry
		if err := json.Unmarshal(data, &e); err != nil {
			return nil, fmt.Errorf("decode %s: %w", name, err)
		}
		entries = append(entries, e)
	}
	return entries, nil
}
