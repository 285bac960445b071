package handover

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// sampleInterval is the number of requests for which one is counted.
	sampleInterval = 8
	// maxTrackedKeys is the maximum number of keys that are counted at the same time.
	maxTrackedKeys = 256
	// rateWindowLength is the time over which rates are measured.
	rateWindowLength = time.Second
	// minHotShare is the minimum share of an owner's requests for a key to be hot.
	minHotShare = 0.2
	// minHotRate is the minimum number of requests per second for a key to be hot.
	minHotRate = 50
	// maxCoolRate is the number of requests per second below which a hot key may be merged
	// back into its slot.
	maxCoolRate = minHotRate / 2
	// coolWindows is the number of consecutive windows below maxCoolRate before that merge.
	coolWindows = 30
)

// HotKeysOption configures a HotKeys.
type HotKeysOption func(*HotKeys)

// WithoutHotKeys is a functional option for the baseline of comparisons: no key is ever
// hot, so that busy keys stay with the owner of their slot. It loses load balance.
func WithoutHotKeys() HotKeysOption {
	return func(h *HotKeys) { h.disabled = true }
}

// KeyRate is a key with its measured number of requests per second.
type KeyRate struct {
	Key  string
	Rate float64
	// Share is the key's share of the owner's requests.
	Share float64
}

// HotKeys measures the request rates of an owner's keys. It counts a sample in a table of
// fixed size (the space-saving algorithm), so that its cost does not depend on the number
// of keys. It is safe for concurrent use.
type HotKeys struct {
	disabled bool

	mu          sync.Mutex
	counts      map[string]int
	total       int
	windowStart time.Time
	rates       []KeyRate
	coolCounts  map[string]int
}

// NewHotKeys returns a HotKeys without observations.
func NewHotKeys(opts ...HotKeysOption) *HotKeys {
	h := &HotKeys{counts: make(map[string]int, maxTrackedKeys), coolCounts: make(map[string]int)}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Observe counts a request for key. random is a random number, by which one request in
// sampleInterval is counted.
func (h *HotKeys) Observe(key string, random uint64) {
	if h.disabled || random%sampleInterval != 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total++
	if _, tracked := h.counts[key]; !tracked && len(h.counts) >= maxTrackedKeys {
		leastCounted, count := h.leastCounted()
		delete(h.counts, leastCounted)
		h.counts[key] = count
	}
	h.counts[key]++
}

func (h *HotKeys) leastCounted() (key string, count int) {
	count = -1
	for k, n := range h.counts {
		if count < 0 || n < count {
			key, count = k, n
		}
	}
	return key, count
}

// EndWindow ends the current window if it is complete, and reports whether it did and so
// computed new rates.
func (h *HotKeys) EndWindow(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.windowStart.IsZero() {
		h.windowStart = now
	}
	elapsed := now.Sub(h.windowStart)
	if elapsed < rateWindowLength {
		return false
	}
	h.rates = h.rates[:0]
	for key, n := range h.counts {
		h.rates = append(h.rates, KeyRate{
			Key: key, Rate: float64(n*sampleInterval) / elapsed.Seconds(), Share: float64(n) / float64(h.total),
		})
	}
	slices.SortFunc(h.rates, func(a, b KeyRate) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Key, b.Key))
	})
	clear(h.counts)
	h.total, h.windowStart = 0, now
	return true
}

// Hottest returns the hottest key that is not yet isolated from its slot and is hot enough
// to be; ok is false if there is none.
func (h *HotKeys) Hottest(isolated func(key string) bool) (hottest KeyRate, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, k := range h.rates {
		if k.Rate < minHotRate || k.Share < minHotShare {
			return KeyRate{}, false
		}
		if !isolated(k.Key) {
			return k, true
		}
	}
	return KeyRate{}, false
}

// Cooled returns one of the given hot keys that has been cool for coolWindows, so that it
// may be merged back into its slot. It must be called once per window.
func (h *HotKeys) Cooled(hot []string) (key string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for tracked := range h.coolCounts {
		if !slices.Contains(hot, tracked) {
			delete(h.coolCounts, tracked)
		}
	}
	for _, k := range hot {
		if h.rate(k) >= maxCoolRate {
			h.coolCounts[k] = 0
			continue
		}
		h.coolCounts[k]++
		if h.coolCounts[k] >= coolWindows && !ok {
			key, ok = k, true
		}
	}
	return key, ok
}

func (h *HotKeys) rate(key string) float64 {
	for _, k := range h.rates {
		if k.Key == key {
			return k.Rate
		}
	}
	return 0
}
