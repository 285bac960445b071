package storage_test

import (
	"context"
	"testing"
	"time"

	"fulmarrun/storage"
)

// TestAvailabilityObserver checks that the observer is notified once when calls stop
// being answered and once when they are answered again. An answer with an error and a
// canceled call do not count as unanswered.
func TestAvailabilityObserver(t *testing.T) {
	for _, tc := range []struct {
		name          string
		answers       []error
		notifications []bool
	}{
		{"answers", []error{nil, storage.ErrMissing, storage.ErrRejected}, nil},
		{"several calls without an answer", []error{nil, storage.ErrUnavailable, storage.ErrUnavailable}, []bool{false}},
		{"no answer, then success", []error{storage.ErrUnavailable, nil, nil}, []bool{false, true}},
		{"no answer, then a rejection", []error{storage.ErrUnavailable, storage.ErrRejected}, []bool{false, true}},
		{"canceled call", []error{nil, context.Canceled}, nil},
		{"unavailable twice", []error{storage.ErrUnavailable, nil, storage.ErrUnavailable}, []bool{false, true, false}},
	} {
		var notifications []bool
		call := 0
		s := storage.Track(&storage.Store{
			Get: func(context.Context, string) (storage.Row, error) {
				call++
				return storage.Row{}, tc.answers[call-1]
			},
		}, time.Now, storage.WithAvailabilityObserver(func(err error) { notifications = append(notifications, err == nil) }))
		for range tc.answers {
			_, _ = s.Get(t.Context(), "a")
		}
		if len(notifications) != len(tc.notifications) {
			t.Errorf("%s: notifications %v, want %v", tc.name, notifications, tc.notifications)
			continue
		}
		for i := range notifications {
			if notifications[i] != tc.notifications[i] {
				t.Errorf("%s: notifications %v, want %v", tc.name, notifications, tc.notifications)
			}
		}
	}
}
