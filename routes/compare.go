package routes

import (
	"github.com/cespare/xxhash/v2"

	"fulmarrun/wire"
)

const (
	// GroupCount is the number of groups of buckets. Two daemons that compare their rows
	// compare the digests of the groups first.
	GroupCount = 64
	// bucketsPerGroup is the number of buckets of a group. They are compared if the
	// digests of the group differ.
	bucketsPerGroup = 64
	bucketCount     = GroupCount * bucketsPerGroup
)

// bucket holds the keys that hash to it and a digest of their rows.
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

// DifferingGroups returns the groups whose digests differ from the given ones, with
// the digests of all their buckets.
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

// DifferingBuckets returns the buckets of the given groups whose digests differ from
// the given ones.
func (v *View) DifferingBuckets(groups []uint32, buckets []uint64) []uint32 {
	var out []uint32
	for i, group := range groups {
		if group >= GroupCount {
			continue
		}
		for j := range bucketsPerGroup {
			at, theirs := int(group)*bucketsPerGroup+j, i*bucketsPerGroup+j
			if theirs >= len(buckets) || buckets[theirs] != v.buckets[at].digest {
				out = append(out, uint32(at))
			}
		}
	}
	return out
}

// Versions returns the versions of the rows in the given buckets.
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

// CompareVersions compares the versions that another daemon has of the rows in the
// given buckets with those of the view. For rows that are newer in the view, newer
// lists the other daemon's versions. For rows that are newer at the other daemon,
// older lists the versions of the view.
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
