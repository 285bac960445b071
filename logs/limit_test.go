package logs_test

import (
	"testing"

	"fulmarrun/logs"
)

// TestLimitCountsHiddenLines checks that each line is either logged or counted as hidden.
func TestLimitCountsHiddenLines(t *testing.T) {
	l := logs.NewLimit(10)
	logged, hiddenLines := 0, 0
	for range 1000 {
		if hidden, ok := l.Allow(); ok {
			logged++
			hiddenLines += int(hidden)
		}
	}
	if logged < 20 || logged > 100 {
		t.Errorf("%d of 1000 lines logged, want a burst of about 20", logged)
	}
	for {
		if hidden, ok := l.Allow(); ok {
			logged++
			hiddenLines += int(hidden)
			break
		}
		hiddenLines--
	}
	if total := logged + hiddenLines; total != 1001 {
		t.Errorf("%d lines logged and %d counted as hidden, want 1001 in total", logged, hiddenLines)
	}
}
