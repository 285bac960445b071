package quarantine

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"fulmarrun/wire"
)

const (
	// defaultCapacity bounds the requests of a ledger.
	defaultCapacity = 1024
	// maxCrashes bounds the crashes that are kept of one request. More would not lengthen the time for
	// which it is shut out.
	maxCrashes = 8
	// maxProcessLen bounds the name of a process, in bytes.
	maxProcessLen = 256
)

// Option configures a Ledger.
type Option func(*Ledger)

// WithCapacity is a functional option that bounds the requests of which crashes are known.
func WithCapacity(requests int) Option {
	return func(l *Ledger) { l.capacity = requests }
}

// Ledger holds the crashes that are known of each request.
type Ledger struct {
	capacity int

	mu       sync.RWMutex
	suspects map[wire.Fingerprint]*wire.Suspect
	answered recent
	// until is when the last request that is shut out may run again.
	until time.Time
}

// NewLedger returns an empty Ledger.
func NewLedger(opts ...Option) *Ledger {
	l := &Ledger{capacity: defaultCapacity, suspects: make(map[wire.Fingerprint]*wire.Suspect)}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Empty reports whether no crash is known.
func (l *Ledger) Empty() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.suspects) == 0
}

// AnyShutOut reports whether a request is shut out.
func (l *Ledger) AnyShutOut(now time.Time) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return now.Before(l.until)
}

// Verdict returns how a request is treated.
func (l *Ledger) Verdict(now time.Time, f wire.Fingerprint) Verdict {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := l.suspects[f]
	if s == nil {
		return Verdict{}
	}
	v, _ := judge(now, s)
	return v
}

// Accuse records that a process of a target has ended under the requests lost, while the requests in
// others were at work there as well. It returns what is known of those for which this is new.
func (l *Ledger) Accuse(now time.Time, process string, lost, others []wire.Fingerprint) []wire.Suspect {
	main, isSole := l.mainSuspect(process, slices.Concat(lost, others))
	suspects := make([]wire.Suspect, 0, len(lost))
	for _, f := range lost {
		crash := wire.Crash{Process: process, At: now, Sole: isSole && f == main}
		suspects = append(suspects, wire.Suspect{Fingerprint: f, Crashes: []wire.Crash{crash}})
	}
	return l.Merge(now, suspects)
}

// mainSuspect returns the request under which most processes ended before the given one. It reports
// false if that is not a single one.
func (l *Ledger) mainSuspect(process string, atWork []wire.Fingerprint) (main wire.Fingerprint, ok bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	most := -1
	for _, f := range atWork {
		crashes := 0
		if s := l.suspects[f]; s != nil {
			for _, c := range s.Crashes {
				if !c.Cleared && c.Process != process {
					crashes++
				}
			}
		}
		switch {
		case crashes > most:
			main, most, ok = f, crashes, true
		case crashes == most && f != main:
			ok = false
		}
	}
	return main, ok
}

// Answered records that a target has answered a request, which clears it of all crashes that are
// known. It returns what is known of the request if that clears it.
func (l *Ledger) Answered(now time.Time, f wire.Fingerprint) []wire.Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered.add(now, f)
	s := l.suspects[f]
	if s == nil || !clearCrashes(s) {
		return nil
	}
	l.expire(now)
	return []wire.Suspect{clone(s)}
}

// Merge adds what another ledger knows. It returns what is now known of the requests for which
// that differs from before.
func (l *Ledger) Merge(now time.Time, suspects []wire.Suspect) []wire.Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []wire.Suspect
	for _, s := range suspects {
		if l.merge(now, &s) {
			changed = append(changed, clone(l.suspects[s.Fingerprint]))
		}
	}
	l.expire(now)
	return slices.DeleteFunc(changed, func(s wire.Suspect) bool { return l.suspects[s.Fingerprint] == nil })
}

// merge reports whether it has changed what is known of a request.
func (l *Ledger) merge(now time.Time, from *wire.Suspect) bool {
	known := l.suspects[from.Fingerprint]
	if known == nil {
		known = &wire.Suspect{Fingerprint: from.Fingerprint}
	}
	changed := false
	for _, c := range from.Crashes {
		changed = addCrash(now, known, c) || changed
	}
	if l.answered.has(now, from.Fingerprint) {
		changed = clearCrashes(known) || changed
	}
	if changed {
		l.suspects[from.Fingerprint] = known
	}
	return changed
}

// addCrash adds a crash, and reports whether that changes what is known.
func addCrash(now time.Time, s *wire.Suspect, c wire.Crash) bool {
	if c.At.After(now) {
		c.At = now
	}
	c.At = c.At.Round(0)
	if len(c.Process) > maxProcessLen || now.Sub(c.At) > maxTerm+retention {
		return false
	}
	at := slices.IndexFunc(s.Crashes, func(known wire.Crash) bool { return known.Process == c.Process })
	if at >= 0 {
		newlyCleared := c.Cleared && !s.Crashes[at].Cleared
		s.Crashes[at].Cleared = s.Crashes[at].Cleared || c.Cleared
		return newlyCleared
	}
	s.Crashes = append(s.Crashes, c)
	slices.SortFunc(s.Crashes, func(a, b wire.Crash) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Process, b.Process))
	})
	if len(s.Crashes) <= maxCrashes {
		return true
	}
	oldest := s.Crashes[maxCrashes]
	s.Crashes = s.Crashes[:maxCrashes]
	return oldest.Process != c.Process
}

// clearCrashes clears a request of its crashes, and reports whether it had any.
func clearCrashes(s *wire.Suspect) bool {
	changed := false
	for i := range s.Crashes {
		changed = changed || !s.Crashes[i].Cleared
		s.Crashes[i].Cleared = true
	}
	return changed
}

// Expire drops what is no longer needed.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
}

func (l *Ledger) expire(now time.Time) {
	for f, s := range l.suspects {
		if _, forget := judge(now, s); !now.Before(forget) {
			delete(l.suspects, f)
		}
	}
	if len(l.suspects) > l.capacity {
		for _, s := range l.sorted(now)[l.capacity:] {
			delete(l.suspects, s.Fingerprint)
		}
	}
	l.until = time.Time{}
	for _, s := range l.suspects {
		if v, _ := judge(now, s); v.Until.After(l.until) {
			l.until = v.Until
		}
	}
}

// sorted returns the requests, those with most crashes first, and the latest of as many. The caller
// holds the lock.
func (l *Ledger) sorted(now time.Time) []wire.Suspect {
	out := make([]wire.Suspect, 0, len(l.suspects))
	for _, s := range l.suspects {
		out = append(out, clone(s))
	}
	slices.SortFunc(out, func(a, b wire.Suspect) int {
		va, lateA := judge(now, &a)
		vb, lateB := judge(now, &b)
		return cmp.Or(vb.Crashes-va.Crashes, lateB.Compare(lateA), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return out
}

// Suspects returns all that is known, the requests with most crashes first.
func (l *Ledger) Suspects(now time.Time) []wire.Suspect {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.sorted(now)
}

// ShutOut returns the requests that are shut out.
func (l *Ledger) ShutOut(now time.Time) []wire.Suspect {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var out []wire.Suspect
	for _, s := range l.suspects {
		if v, _ := judge(now, s); v.ShutOut() {
			out = append(out, clone(s))
		}
	}
	return out
}

// Digest returns a number that is the same for ledgers that know the same; zero if nothing is known.
func (l *Ledger) Digest() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var sum uint64
	for _, s := range l.suspects {
		for _, c := range s.Crashes {
			h := fnv.New64a()
			cleared := byte(0)
			if c.Cleared {
				cleared = 1
			}
			_, _ = h.Write(s.Fingerprint[:])
			_, _ = h.Write([]byte(c.Process))
			_, _ = h.Write([]byte{cleared})
			sum += binary.BigEndian.Uint64(h.Sum(nil))
		}
	}
	return sum
}

func clone(s *wire.Suspect) wire.Suspect {
	return wire.Suspect{Fingerprint: s.Fingerprint, Crashes: slices.Clone(s.Crashes)}
}
