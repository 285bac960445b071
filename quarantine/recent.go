package quarantine

import (
	"time"

	"fulmarrun/wire"
)

const (
	// answerWindow is how long after an answer a request is not blamed for the end of a target.
	answerWindow = 10 * time.Second
	// maxRecent bounds the requests of one half of the memory of answers.
	maxRecent = 4096
)

// recent remembers which requests were answered within the last answerWindow. It drops the older
// half of what it remembers when the newer one is full.
type recent struct {
	newer, older map[wire.Fingerprint]time.Time
	since        time.Time
}

// add records an answer.
func (r *recent) add(now time.Time, f wire.Fingerprint) {
	if r.newer == nil || len(r.newer) >= maxRecent || now.Sub(r.since) > answerWindow {
		r.older, r.newer, r.since = r.newer, make(map[wire.Fingerprint]time.Time), now
	}
	r.newer[f] = now
}

// has reports whether a request was answered within the last answerWindow.
func (r *recent) has(now time.Time, f wire.Fingerprint) bool {
	at, ok := r.newer[f]
	if !ok {
		at, ok = r.older[f]
	}
	return ok && now.Sub(at) <= answerWindow
}
