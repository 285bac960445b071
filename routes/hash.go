package routes

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"fulmarrun/wire"
)

// SlotOf returns the slot of key among count slots; count must be a power of two.
func SlotOf(key string, count uint32) uint32 {
	return uint32(xxhash.Sum64String(key)) & (count - 1)
}

// KeyCount is the number of keys of a service with numeric keys: 0 to KeyCount-1.
const KeyCount = 1 << 16

// SlotOfNumericKey returns the slot of a key that is a decimal number, among count
// slots that are ranges of equal size; ok is false for any other key.
func SlotOfNumericKey(key string, count uint32) (slot uint32, ok bool) {
	n, err := strconv.ParseUint(key, 10, 16)
	if err != nil {
		return 0, false
	}
	return uint32(n * uint64(count) / KeyCount), true
}

// Bounds returns the first and the last numeric key of a slot among count ranges.
func Bounds(slot, count uint32) (first, last uint32) {
	firstKey := func(slot uint64) uint32 { return uint32((slot*KeyCount + uint64(count) - 1) / uint64(count)) }
	return firstKey(uint64(slot)), firstKey(uint64(slot)+1) - 1
}

// Mix hashes a pair of numbers with the finalizer of SplitMix64.
func Mix(a, b uint64) uint64 {
	z := a + 0x9e3779b97f4a7c15*b
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// unitHash returns the hash of a slot, or of a hot key, for the choice of an heir.
func unitHash(slot uint32, hot string) uint64 {
	if hot == "" {
		return uint64(slot)
	}
	return xxhash.Sum64String(hot)
}

// Heir returns the one of heirs that inherits a slot or a hot key, by rendezvous
// hashing.
func Heir(heirs []wire.Generation, slot uint32, hot string) wire.Generation {
	var best wire.Generation
	var bestWeight uint64
	unit := unitHash(slot, hot)
	for _, g := range heirs {
		weight := Mix(unit, uint64(g))
		if best == 0 || weight > bestWeight || (weight == bestWeight && g > best) {
			best, bestWeight = g, weight
		}
	}
	return best
}

// Rank sorts generations by their rendezvous hash with seed, highest first.
func Rank(generations []wire.Generation, seed uint64) {
	slices.SortFunc(generations, func(a, b wire.Generation) int {
		return cmp.Compare(Mix(seed, uint64(b)), Mix(seed, uint64(a)))
	})
}
