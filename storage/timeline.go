package storage

const (
	// timelineShift is the number of bits of a version below its timeline. They suffice for
	// thirty years of 1,000 transactions a second.
	timelineShift = 40
	// ReservedVersions is the number of versions of a timeline, the lowest ones, that
	// VersionAt does not return. Readers may use them for rows that any other version replaces.
	ReservedVersions = 2
)

// VersionAt returns the version of a change that the platform numbered within a timeline.
// Versions of a later timeline are higher than all of an earlier one.
func VersionAt(timeline, number uint64) uint64 {
	return ReservedVersion(timeline, number+ReservedVersions)
}

// ReservedVersion returns the nth of the reserved versions of a timeline, from one on.
func ReservedVersion(timeline, n uint64) uint64 { return timeline<<timelineShift | n }

// IsReserved reports whether a version is one of the reserved ones of its timeline.
func IsReserved(version uint64) bool { return version&(1<<timelineShift-1) <= ReservedVersions }

// TimelineOf returns the timeline in which a version was written.
func TimelineOf(version uint64) uint64 { return version >> timelineShift }

// NumberOf returns the platform's number of a version within its timeline.
func NumberOf(version uint64) uint64 { return version&(1<<timelineShift-1) - ReservedVersions }
