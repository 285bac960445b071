package routes

import (
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// The reserved versions of a timeline that UncertainVersion returns.
const (
	uncertain       = 1
	uncertainClosed = 2
)

// UncertainVersion returns the version that a row of an earlier timeline gets if it was read
// from the platform. The copy may be older than what other members know, and writes of the
// earlier timeline may have been applied to it late, so every other version replaces it. A
// generation that has been closed stays closed.
func UncertainVersion(row wire.Row) uint64 {
	timeline := storage.TimelineOf(row.Version)
	var m wire.Member
	if isMemberKey(row.Key) && wire.Decode(row.Value, &m) == nil && m.State == wire.StateClosed {
		return storage.ReservedVersion(timeline, uncertainClosed)
	}
	return storage.ReservedVersion(timeline, uncertain)
}
