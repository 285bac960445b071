package routes

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"fulmarrun/wire"
)

var (
	// ErrWrongBase is returned for a delta whose base is not the version held.
	ErrWrongBase = errors.New("not the base of the delta")
	// ErrInvalidDelta is returned for a delta that does not make the value that it should.
	ErrInvalidDelta = errors.New("delta does not fit")
)

const (
	// matchBytes is how many bytes must be the same for an edit to end.
	matchBytes = 8
	// matchWindow is within how many bytes, of both values together, that is
	// looked for.
	matchWindow = 256
)

// diff returns what turns before into after, two versions of one row.
func diff(before, after wire.Row) wire.Delta {
	d := wire.Delta{Key: after.Key, BaseVersion: before.Version, Version: after.Version, Checksum: checksum(after.Value)}
	a, b := before.Value, after.Value
	for len(a) > 0 || len(b) > 0 {
		keep := same(a, b)
		a, b = a[keep:], b[keep:]
		if len(a) == 0 && len(b) == 0 {
			break
		}
		drop, put := nextMatch(a, b)
		d.Edits = append(d.Edits, wire.Edit{Keep: uint32(keep), Drop: uint32(drop), Insert: bytes.Clone(b[:put])})
		a, b = a[drop:], b[put:]
	}
	return d
}

// same returns how many bytes a and b begin with that are the same.
func same(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// nextMatch returns how much to leave out of a and of b so that they go on the
// same.
func nextMatch(a, b []byte) (drop, put int) {
	for both := 1; both <= min(matchWindow, len(a)+len(b)); both++ {
		for drop := max(0, both-len(b)); drop <= min(both, len(a)); drop++ {
			if matches(a[drop:], b[both-drop:]) {
				return drop, both - drop
			}
		}
	}
	return len(a), len(b)
}

func matches(a, b []byte) bool {
	if len(a) < matchBytes || len(b) < matchBytes {
		return bytes.Equal(a, b)
	}
	return bytes.Equal(a[:matchBytes], b[:matchBytes])
}

// patch returns the row that a delta makes of its base; anySum takes whatever
// value comes out.
func patch(base wire.Row, d wire.Delta, anySum bool) (wire.Row, error) {
	old, value := base.Value, make([]byte, 0, len(base.Value))
	for _, e := range d.Edits {
		if uint64(e.Keep)+uint64(e.Drop) > uint64(len(old)) {
			return wire.Row{}, fmt.Errorf("edit beyond the value: %w", ErrInvalidDelta)
		}
		value = append(append(value, old[:e.Keep]...), e.Insert...)
		old = old[e.Keep+e.Drop:]
	}
	value = append(value, old...)
	if checksum(value) != d.Checksum && !anySum {
		return wire.Row{}, fmt.Errorf("checksum: %w", ErrInvalidDelta)
	}
	return wire.Row{Key: d.Key, Version: d.Version, Value: value}, nil
}

func checksum(value []byte) uint32 { return uint32(xxhash.Sum64(value)) }
