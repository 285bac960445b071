package config

import (
	"fmt"
	"math/bits"
	"slices"
	"strconv"
	"time"
)

const (
	// maxWait is the upper limit of a kind's wait, and of the drain setting.
	maxWait = 10 * time.Minute
	// maxRetain is the upper limit of a service's retention of request IDs.
	maxRetain = 24 * time.Hour
	// maxSkew is the upper limit of a service's margin for clock differences.
	maxSkew = time.Minute
)

// checkFile reports violations of the rules that the schema cannot express.
func checkFile(d *document, f *File) {
	names := make(map[string]bool, len(f.Services))
	for i := range f.Services {
		servicePointer := elementPointer("/services", i)
		if names[f.Services[i].Name] {
			d.reportValue(servicePointer+"/name", "a name that no other service has")
		}
		names[f.Services[i].Name] = true
		checkService(d, servicePointer, &f.Services[i])
	}
}

func checkService(d *document, pointer string, s *Service) {
	if bits.OnesCount(uint(s.Slots)) > 1 {
		d.reportValue(pointer+"/slots", "a power of two")
	}
	if s.Skew < 0 || s.Skew > maxSkew {
		d.reportValue(pointer+"/skew", "a duration up to "+shortDuration(maxSkew))
	}
	names := make(map[string]bool, len(s.Kinds))
	for i := range s.Kinds {
		kindPointer := elementPointer(pointer+"/kinds", i)
		if names[s.Kinds[i].Name] {
			d.reportValue(kindPointer+"/name", "a name that no other kind of the service has")
		}
		names[s.Kinds[i].Name] = true
		checkWait(d, kindPointer, &s.Kinds[i])
	}
	checkRetain(d, pointer, s)
	checkPaths(d, pointer, s)
	checkOwners(d, pointer, s)
}

func checkWait(d *document, pointer string, k *Kind) {
	if k.Wait <= 0 || k.Wait > maxWait {
		d.reportValue(pointer+"/wait", "a duration above 0 and up to "+shortDuration(maxWait))
	}
}

// checkRetain reports a retention of request IDs that is too long, or shorter
// than the longest time that a caller may wait plus the margin for clocks. An ID
// must be remembered for as long as its caller may wait.
func checkRetain(d *document, pointer string, s *Service) {
	longestWait := time.Duration(0)
	for i := range s.Kinds {
		if s.Kinds[i].Wait <= maxWait {
			longestWait = max(longestWait, s.Kinds[i].Wait)
		}
	}
	switch {
	case s.Retain > maxRetain:
		d.reportValue(pointer+"/retain", "a duration up to "+shortDuration(maxRetain))
	case s.Retain < longestWait+s.Skew:
		want := fmt.Sprintf("at least the longest wait plus skew, %s", shortDuration(longestWait+s.Skew))
		d.report(pointer+"/retain", want, shortDuration(s.Retain))
	}
}

// checkPaths reports malformed paths, pairs of kinds of which neither is more
// specific for a request that matches both, and keys that name a wildcard that
// the path does not have.
func checkPaths(d *document, pointer string, s *Service) {
	type groupKey struct {
		method string
		length int
	}
	type pattern struct {
		kind     int
		segments []segment
	}
	seen := make(map[groupKey][]pattern)
	for i := range s.Kinds {
		k := &s.Kinds[i]
		kindPointer := elementPointer(pointer+"/kinds", i)
		segments, want := parsePattern(k.Path)
		if want != "" {
			d.reportValue(kindPointer+"/path", want)
			continue
		}
		if k.Key.Path != "" && !slices.Contains(segments, segment{text: k.Key.Path, wild: true}) {
			d.reportValue(kindPointer+"/key/path", "a wildcard of "+k.Path)
		}
		group := groupKey{method: k.Method, length: len(segments)}
		for _, other := range seen[group] {
			if ambiguous(segments, other.segments) {
				conflicting := &s.Kinds[other.kind]
				want := fmt.Sprintf("a path that cannot be taken for %s %s of %q", conflicting.Method, conflicting.Path, conflicting.Name)
				d.reportValue(kindPointer+"/path", want)
				break
			}
		}
		seen[group] = append(seen[group], pattern{kind: i, segments: segments})
	}
}

// checkOwners reports keyed kinds of one service that allow different failure
// domains or targets: a key has the same owner for all kinds.
func checkOwners(d *document, pointer string, s *Service) {
	var firstKeyed *Kind
	for i := range s.Kinds {
		k := &s.Kinds[i]
		switch {
		case !k.Keyed():
		case firstKeyed == nil:
			firstKeyed = k
		default:
			kindPointer := elementPointer(pointer+"/kinds", i)
			checkSameElements(d, kindPointer, "domains", k.Domains, firstKeyed.Domains, firstKeyed.Name)
			checkSameElements(d, kindPointer, "targets", k.Targets, firstKeyed.Targets, firstKeyed.Name)
		}
	}
}

// checkSlots reports services whose number of slots differs from the number that
// they run with.
func checkSlots(d *document, f *File, slotsOf func(service string) int) {
	for i := range f.Services {
		s := &f.Services[i]
		if expected := slotsOf(s.Name); expected != 0 && expected != s.Slots {
			d.reportValue(elementPointer("/services", i)+"/slots", fmt.Sprintf("%d as before, since slots cannot change", expected))
		}
	}
}

func checkSameElements(d *document, kindPointer, field string, got, want []string, otherKind string) {
	if slices.Equal(slices.Sorted(slices.Values(got)), slices.Sorted(slices.Values(want))) {
		return
	}
	fieldPointer := kindPointer + "/" + field
	if len(got) == 0 {
		fieldPointer = kindPointer
	}
	expected := fmt.Sprintf("the same %s as %q, which shares its owners", field, otherKind)
	d.report(fieldPointer, expected, fmt.Sprintf("%q", got))
}

func elementPointer(pointer string, index int) string {
	return pointer + "/" + strconv.Itoa(index)
}
