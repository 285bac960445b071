package routes

import (
	"github.com/cespare/xxhash/v2"

	"fulmarrun/wire"
)

const (
	// GroupCount is the number of groups of buckets in which two daemons compare
	// their rows first.
	GroupCount = 64
	// bucketsPerGroup is the number of buckets of a group; they are compared if
	// the groups differ.
	bucketsPerGroup = 64
	bucketCount     = GroupCount * bucketsPerGroup
)

// bucket is the part of the rows whose keys hash to it.
type bucket struct {
	digest uint64
	keys   []string
}

// GroupDigests returns one digest for each group of buckets.
func (v *View) GroupDigests() []uint64 {
	out := make([]uint64, GroupCount)
	for i := range v.buckets {
		out[i/bucketsPerGroup] ^= v.buckets[i].digest
	}
	return out
}

// DifferingGroups returns the groups that differ from those given, with the digests of
// all their buckets.
func (v *View) DifferingGroups(other []uint64) (groups []uint32, buckets []uint64) {
	for i, group := range v.GroupDigests() {
		if i < len(other) && other[i] == group {
			continue
		}
		groups = append(groups, uint32(i))
		for _, b := range v.buckets[i*bucketsPerGroup : (i+1)*bucketsPerGroup] {
			buckets = append(buckets, b.digest)
		}
	}
	return groups, buckets
}

// DifferingBuckets returns the buckets of the given groups that differ from those given.
func (v *View) DifferingBuckets(groups []uint32, buckets []uint64) []uint32 {
	var out []uint32
	for i, group := range groups {
		if group >= GroupCount {
			continue
		}
		for j := range bucketsPerGroup {
			at, given := int(group)*bucketsPerGroup+j, i*bucketsPerGroup+j
			if given >= len(buckets) || buckets[given] != v.buckets[at].digest {
				out = append(out, uint32(at))
			}
		}
	}
	return out
}

// Versions lists what is known in the named buckets.
func (v *View) Versions(buckets []uint32) []wire.Version {
	var out []wire.Version
	for _, b := range buckets {
		if b >= bucketCount {
			continue
		}
		for _, key := range v.buckets[b].keys {
			out = append(out, wire.Version{Key: key, Version: v.rows[key].row.Version})
		}
	}
	return out
}

// CompareVersions compares what another has in the named buckets with what is known
// here: newer are the versions that it has of what is newer here, and older those
// here of what is newer there.
func (v *View) CompareVersions(buckets []uint32, have []wire.Version) (newer, older []wire.Version) {
	theirs := make(map[string]uint64, len(have))
	for _, h := range have {
		theirs[h.Key] = h.Version
		if own := v.rows[h.Key].row.Version; own < h.Version {
			older = append(older, wire.Version{Key: h.Key, Version: own})
		}
	}
	for _, own := range v.Versions(buckets) {
		if version := theirs[own.Key]; version < own.Version {
			newer = append(newer, wire.Version{Key: own.Key, Version: version})
		}
	}
	return newer, older
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

func rowDigest(row wire.Row) uint64 { return Mix(xxhash.Sum64String(row.Key), row.Version) }
