package routes

import (
	"fmt"
	"strconv"
	"strings"

	"fulmarrun/wire"
)

const (
	// MemberPrefix starts the key of each member row.
	MemberPrefix = "member/"
	// SlotsPrefix starts the key of each row of slots.
	SlotsPrefix = "slots/"
	// ConfigKey is the key of the row that identifies the configuration in force.
	ConfigKey = "config/current"

	// SlotsPerRow is the number of slots in a row.
	SlotsPerRow = 32
)

// MemberKey returns the key of the row of a generation.
func MemberKey(g wire.Generation) string {
	return fmt.Sprintf("%s%016x", MemberPrefix, uint64(g))
}

// memberOf returns the generation whose row has the given key.
func memberOf(key string) (wire.Generation, bool) {
	g, err := strconv.ParseUint(strings.TrimPrefix(key, MemberPrefix), 16, 64)
	return wire.Generation(g), err == nil
}

// FirstSlotOf returns the first slot of the row that holds the given slot.
func FirstSlotOf(slot uint32) uint32 { return slot - slot%SlotsPerRow }

// SlotsKey returns the key of the row that holds the given slot.
func SlotsKey(service string, slot uint32) string {
	return fmt.Sprintf("%s%s/%08x", SlotsPrefix, service, FirstSlotOf(slot))
}

func isMemberKey(key string) bool { return strings.HasPrefix(key, MemberPrefix) }
func isSlotsKey(key string) bool  { return strings.HasPrefix(key, SlotsPrefix) }
