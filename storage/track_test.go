package storage_test

import (
	"context"
	"testing"
	"time"

	"fulmarrun/storage"
)

// TestTrackChange checks that falling silent and answering again are told once each,
// and that an answer which is no success, or a call that was given up, is no silence.
func TestTrackChange(t *testing.T) {
	for _, tc := range []struct {
		name    string
		answers []error
		told    []bool
	}{
		{"answers", []error{nil, storage.ErrMissing, storage.ErrRejected}, nil},
		{"silent once, then for long", []error{nil, storage.ErrUnavailable, storage.ErrUnavailable}, []bool{false}},
		{"silent and back", []error{storage.ErrUnavailable, nil, nil}, []bool{false, true}},
		{"back with a refusal", []error{storage.ErrUnavailable, storage.ErrRejected}, []bool{false, true}},
		{"given up", []error{nil, context.Canceled}, nil},
		{"twice", []error{storage.ErrUnavailable, nil, storage.ErrUnavailable}, []bool{false, true, false}},
	} {
		var told []bool
		call := 0
		s := storage.Track(&storage.Store{
			Get: func(context.Context, string) (storage.Row, error) {
				call++
				return storage.Row{}, tc.answers[call-1]
			},
		}, time.Now, storage.WithAvailabilityObserver(func(err error) { told = append(told, err == nil) }))
		for range tc.answers {
			_, _ = s.Get(t.Context(), "a")
		}
		if len(told) != len(tc.told) {
			t.Errorf("%s: told %v, want %v", tc.name, told, tc.told)
			continue
		}
		for i := range told {
			if told[i] != tc.told[i] {
				t.Errorf("%s: told %v, want %v", tc.name, told, tc.told)
			}
		}
	}
}
