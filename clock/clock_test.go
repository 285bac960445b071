package clock_test

import (
	"testing"
	"time"

	"fulmarrun/clock"
)

func TestNow(t *testing.T) {
	first := clock.Now()
	time.Sleep(time.Millisecond)
	elapsed := clock.Since(first)
	if elapsed < time.Millisecond {
		t.Errorf("%v passed during a sleep of 1ms", elapsed)
	}
	if remaining := clock.Until(first); remaining > -elapsed {
		t.Errorf("Until returned %v for a time that is %v ago", remaining, elapsed)
	}
	// With a monotonic reading, comparisons of times would use it instead of the time itself.
	if first != first.Round(0) {
		t.Error("Now returned a time with a monotonic reading")
	}
}
