package routes_test

import (
	"strconv"
	"testing"

	"fulmarrun/routes"
)

// TestBounds checks that ranges cover all keys, in order, and agree with SlotOfNumericKey.
func TestBounds(t *testing.T) {
	for _, count := range []uint32{1, 3, 128, 512, 1000, 65536} {
		next := uint32(0)
		for slot := range count {
			first, last := routes.Bounds(slot, count)
			if first != next || last < first {
				t.Fatalf("%d ranges: range %d is %d to %d, after %d", count, slot, first, last, next)
			}
			for _, key := range []uint32{first, last} {
				if got, ok := routes.SlotOfNumericKey(strconv.Itoa(int(key)), count); !ok || got != slot {
					t.Fatalf("%d ranges: key %d is in %d, %v, want %d", count, key, got, ok, slot)
				}
			}
			next = last + 1
		}
		if next != routes.KeyCount {
			t.Errorf("%d ranges end at %d", count, next)
		}
	}
}

func TestSlotOfNumericKeyRefuses(t *testing.T) {
	for _, key := range []string{"", "-1", "65536", "a", "1.5", " 1"} {
		if slot, ok := routes.SlotOfNumericKey(key, 64); ok {
			t.Errorf("key %q is in range %d", key, slot)
		}
	}
}
