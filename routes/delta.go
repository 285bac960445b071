package routes

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"fulmarrun/wire"
)

var (
	// ErrWrongBase is returned for a delta whose base is not the version in the view.
	ErrWrongBase = errors.New("row version is not the base of the delta")
	// ErrInvalidDelta is returned for a delta that does not produce the expected value.
	ErrInvalidDelta = errors.New("delta does not produce the expected value")
)

const (
	// matchBytes is the number of equal bytes that end an edit.
	matchBytes = 8
	// matchWindow is the number of bytes, of both values together, in which a match is
	// searched.
	matchWindow = 256
)

// diff returns the delta from before to after, two versions of one row.
func diff(before, after wire.Row) wire.Delta {
	d := wire.Delta{Key: after.Key, BaseVersion: before.Version, Version: after.Version, Checksum: checksum(after.Value)}
	a, b := before.Value, after.Value
	for len(a) > 0 || len(b) > 0 {
		keep := commonPrefix(a, b)
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

// commonPrefix returns the length of the common prefix of a and b.
func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// nextMatch returns how many bytes to skip in a and in b to reach equal bytes.
func nextMatch(a, b []byte) (drop, put int) {
	for total := 1; total <= min(matchWindow, len(a)+len(b)); total++ {
		for drop := max(0, total-len(b)); drop <= min(total, len(a)); drop++ {
			if matches(a[drop:], b[total-drop:]) {
				return drop, total - drop
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

// patch applies a delta to its base. If anySum is true, it does not check the
// checksum of the result.
func patch(base wire.Row, d wire.Delta, anySum bool) (wire.Row, error) {
	old, value := base.Value, make([]byte, 0, len(base.Value))
	for _, e := range d.Edits {
		if uint64(e.Keep)+uint64(e.Drop) > uint64(len(old)) {
			return wire.Row{}, fmt.Errorf("edit beyond the end of the base value: %w", ErrInvalidDelta)
		}
		value = append(append(value, old[:e.Keep]...), e.Insert...)
		old = old[e.Keep+e.Drop:]
	}
	value = append(value, old...)
	if checksum(value) != d.Checksum && !anySum {
		return wire.Row{}, fmt.Errorf("checksum mismatch: %w", ErrInvalidDelta)
	}
	return wire.Row{Key: d.Key, Version: d.Version, Value: value}, nil
}

func checksum(value []byte) uint32 { return uint32(xxhash.Sum64(value)) }
