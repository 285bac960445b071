package config

import (
	"fmt"
	"math/bits"
	"slices"
	"strconv"
	"time"
)

const (
	// maxWait is the longest time that a caller may be kept waiting.
	maxWait = 10 * time.Minute
	// maxRetain is the longest time that request IDs are remembered.
	maxRetain = 24 * time.Hour
	// maxSkew is the widest margin for differing clocks.
	maxSkew = time.Minute
)

// checkFile reports what the schema cannot express.
func checkFile(d *document, f *File) {
	names := make(map[string]bool, len(f.Services))
	for i := range f.Services {
		at := element("/services", i)
		if names[f.Services[i].Name] {
			d.reportValue(at+"/name", "a name that no other service has")
		}
		names[f.Services[i].Name] = true
		checkService(d, at, &f.Services[i])
	}
}

func checkService(d *document, at string, s *Service) {
	if bits.OnesCount(uint(s.Slots)) > 1 {
		d.reportValue(at+"/slots", "a power of two")
	}
	if s.Skew < 0 || s.Skew > maxSkew {
		d.reportValue(at+"/skew", "a duration up to "+short(maxSkew))
	}
	names := make(map[string]bool, len(s.Kinds))
	for i := range s.Kinds {
		inner := element(at+"/kinds", i)
		if names[s.Kinds[i].Name] {
			d.reportValue(inner+"/name", "a name that no other kind of the service has")
		}
		names[s.Kinds[i].Name] = true
		checkWait(d, inner, &s.Kinds[i])
	}
	checkRetain(d, at, s)
	checkPaths(d, at, s)
	checkOwners(d, at, s)
}

func checkWait(d *document, at string, k *Kind) {
	if k.Wait <= 0 || k.Wait > maxWait {
		d.reportValue(at+"/wait", "a duration above 0 and up to "+short(maxWait))
	}
}

// checkRetain asks that an ID is remembered for as long as its caller may wait.
func checkRetain(d *document, at string, s *Service) {
	longest := time.Duration(0)
	for i := range s.Kinds {
		if s.Kinds[i].Wait <= maxWait {
			longest = max(longest, s.Kinds[i].Wait)
		}
	}
	switch {
	case s.Retain > maxRetain:
		d.reportValue(at+"/retain", "a duration up to "+short(maxRetain))
	case s.Retain < longest+s.Skew:
		want := fmt.Sprintf("at least the longest wait plus skew, %s", short(longest+s.Skew))
		d.report(at+"/retain", want, short(s.Retain))
	}
}

// checkPaths reports malformed paths, pairs of kinds that one request would
// match, and keys that name no wildcard.
func checkPaths(d *document, at string, s *Service) {
	type shape struct {
		method string
		length int
	}
	type pattern struct {
		kind     int
		segments []segment
	}
	seen := make(map[shape][]pattern)
	for i := range s.Kinds {
		k := &s.Kinds[i]
		inner := element(at+"/kinds", i)
		segments, want := parsePattern(k.Path)
		if want != "" {
			d.reportValue(inner+"/path", want)
			continue
		}
		if k.Key.Path != "" && !slices.Contains(segments, segment{text: k.Key.Path, wild: true}) {
			d.reportValue(inner+"/key/path", "a wildcard of "+k.Path)
		}
		group := shape{method: k.Method, length: len(segments)}
		for _, other := range seen[group] {
			if ambiguous(segments, other.segments) {
				rival := &s.Kinds[other.kind]
				want := fmt.Sprintf("a path that cannot be taken for %s %s of %q", rival.Method, rival.Path, rival.Name)
				d.reportValue(inner+"/path", want)
				break
			}
		}
		seen[group] = append(seen[group], pattern{kind: i, segments: segments})
	}
}

// checkOwners asks that all keyed kinds of a service may be served in the same
// places, since a key has one owner for all of them.
func checkOwners(d *document, at string, s *Service) {
	var first *Kind
	for i := range s.Kinds {
		k := &s.Kinds[i]
		switch {
		case !k.Keyed():
		case first == nil:
			first = k
		default:
			inner := element(at+"/kinds", i)
			checkSame(d, inner, "domains", k.Domains, first.Domains, first.Name)
			checkSame(d, inner, "targets", k.Targets, first.Targets, first.Name)
		}
	}
}

// checkSlots reports services that would get other slots than they have.
func checkSlots(d *document, f *File, slots func(service string) int) {
	for i := range f.Services {
		s := &f.Services[i]
		if have := slots(s.Name); have != 0 && have != s.Slots {
			d.reportValue(element("/services", i)+"/slots", fmt.Sprintf("%d as before, since slots cannot change", have))
		}
	}
}

func checkSame(d *document, at, field string, got, want []string, rival string) {
	if slices.Equal(slices.Sorted(slices.Values(got)), slices.Sorted(slices.Values(want))) {
		return
	}
	pointer := at + "/" + field
	if len(got) == 0 {
		pointer = at
	}
	expected := fmt.Sprintf("the same %s as %q, which shares its owners", field, rival)
	d.report(pointer, expected, fmt.Sprintf("%q", got))
}

func element(pointer string, index int) string {
	return pointer + "/" + strconv.Itoa(index)
}
