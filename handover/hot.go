package handover

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// hotSample is how many requests stand behind each one that is counted.
	hotSample = 8
	// hotTracked bounds the keys that are counted at the same time.
	hotTracked = 256
	// hotWindow is the time over which rates are measured.
	hotWindow = time.Second
	// hotShare is the share of an owner's requests from which a key is hot.
	hotShare = 0.2
	// hotRate is the rate of requests a second below which no key is hot.
	hotRate = 50
	// coolRate is the rate of requests a second below which a hot key may go back
	// to its slot.
	coolRate = hotRate / 2
	// coolWindows is for how many windows a key must have been cool.
	coolWindows = 30
)

// HotKeysOption configures a Hot.
type HotKeysOption func(*HotKeys)

// WithoutHotKeys is a functional option that is the baseline: no key is ever hot, so
// that busy keys of one owner stay together. It costs the balance of their load.
func WithoutHotKeys() HotKeysOption {
	return func(h *HotKeys) { h.never = true }
}

// KeyRate is a key with its measured rate of requests a second.
type KeyRate struct {
	Key  string
	Rate float64
	// Share is its part of the owner's requests.
	Share float64
}

// HotKeys measures which keys an owner's requests go to. It counts a sample in a
// table of fixed size (the space-saving algorithm), so that it costs the same
// however many keys there are. It is safe for concurrent use.
type HotKeys struct {
	never bool

	mu     sync.Mutex
	counts map[string]int
	total  int
	start  time.Time
	rates  []KeyRate
	cool   map[string]int
}

// NewHotKeys returns a Hot that has seen nothing.
func NewHotKeys(opts ...HotKeysOption) *HotKeys {
	h := &HotKeys{counts: make(map[string]int, hotTracked), cool: make(map[string]int)}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Observe counts a request for key. Draw is a random number; only one request in
// several is counted.
func (h *HotKeys) Observe(key string, draw uint64) {
	if h.never || draw%hotSample != 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total++
	if _, known := h.counts[key]; !known && len(h.counts) >= hotTracked {
		rarest, count := h.rarest()
		delete(h.counts, rarest)
		h.counts[key] = count
	}
	h.counts[key]++
}

func (h *HotKeys) rarest() (key string, count int) {
	count = -1
	for k, n := range h.counts {
		if count < 0 || n < count {
			key, count = k, n
		}
	}
	return key, count
}

// EndWindow ends the window if it is over. It reports whether there are new rates.
func (h *HotKeys) EndWindow(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.start.IsZero() {
		h.start = now
	}
	length := now.Sub(h.start)
	if length < hotWindow {
		return false
	}
	h.rates = h.rates[:0]
	for key, n := range h.counts {
		h.rates = append(h.rates, KeyRate{
			Key: key, Rate: float64(n*hotSample) / length.Seconds(), Share: float64(n) / float64(h.total),
		})
	}
	slices.SortFunc(h.rates, func(a, b KeyRate) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Key, b.Key))
	})
	clear(h.counts)
	h.total, h.start = 0, now
	return true
}

// Hottest returns the hottest key that is hot enough to be apart from its slot;
// ok is false if there is none.
func (h *HotKeys) Hottest(apart func(key string) bool) (hottest KeyRate, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, k := range h.rates {
		if k.Rate < hotRate || k.Share < hotShare {
			return KeyRate{}, false
		}
		if !apart(k.Key) {
			return k, true
		}
	}
	return KeyRate{}, false
}

// Cooled returns one of the given hot keys that has been cool for so long that it
// may go back to its slot. It is to be called once for each window.
func (h *HotKeys) Cooled(hot []string) (key string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for known := range h.cool {
		if !slices.Contains(hot, known) {
			delete(h.cool, known)
		}
	}
	for _, k := range hot {
		if h.rate(k) >= coolRate {
			h.cool[k] = 0
			continue
		}
		h.cool[k]++
		if h.cool[k] >= coolWindows && !ok {
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
