package handover_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarrun/handover"
)

func TestHotKeys(t *testing.T) {
	start := time.Unix(1000, 0)
	// load is the number of requests to each key within one second.
	type load map[string]int
	cases := []struct {
		name     string
		load     load
		isolated []string
		want     string
	}{
		{"no requests", load{}, nil, ""},
		{"one key has most requests", load{"a": 800, "b": 100}, nil, "a"},
		{"that key is already isolated", load{"a": 800, "b": 100}, []string{"a"}, ""},
		{"the next key is hot too", load{"a": 800, "b": 700}, []string{"a"}, "b"},
		{"a large share of few requests", load{"a": 40}, nil, ""},
		{"a small share of many requests", load{"a": 400, "b": 390, "c": 380, "d": 370, "e": 360, "f": 350}, nil, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := handover.NewHotKeys()
			h.EndWindow(start)
			for key, n := range c.load {
				for i := range n {
					h.Observe(key, uint64(i))
				}
			}
			if !h.EndWindow(start.Add(time.Second)) {
				t.Fatal("the window did not end after its length")
			}
			got, _ := h.Hottest(func(key string) bool {
				for _, a := range c.isolated {
					if a == key {
						return true
					}
				}
				return false
			})
			if got.Key != c.want {
				t.Errorf("hottest %q, want %q", got.Key, c.want)
			}
		})
	}
}

func TestWithoutHotKeys(t *testing.T) {
	h := handover.NewHotKeys(handover.WithoutHotKeys())
	start := time.Unix(1000, 0)
	h.EndWindow(start)
	for range 800 {
		h.Observe("a", 0)
	}
	h.EndWindow(start.Add(time.Second))
	if got, ok := h.Hottest(func(string) bool { return false }); ok {
		t.Errorf("hot keys are disabled, but hottest is %+v", got)
	}
}

func TestHotKeyAmongManyKeys(t *testing.T) {
	h := handover.NewHotKeys()
	start := time.Unix(1000, 0)
	h.EndWindow(start)
	for i := range 20000 {
		h.Observe(fmt.Sprint("rare-", i), 0)
		if i%3 == 0 {
			h.Observe("hot", 0)
		}
	}
	h.EndWindow(start.Add(time.Second))
	if got, _ := h.Hottest(func(string) bool { return false }); got.Key != "hot" {
		t.Errorf("hottest %+v, want key hot", got)
	}
}

func TestHotKeyCools(t *testing.T) {
	h := handover.NewHotKeys()
	now := time.Unix(1000, 0)
	h.EndWindow(now)
	window := func(requests int) (string, bool) {
		for i := range requests {
			h.Observe("a", uint64(i))
		}
		now = now.Add(time.Second)
		h.EndWindow(now)
		return h.Cooled([]string{"a"})
	}
	for range 20 {
		window(0)
	}
	if _, ok := window(800); ok {
		t.Error("a hot key counted as cool")
	}
	for range 29 {
		if _, ok := window(0); ok {
			t.Fatal("key counted as cool too early")
		}
	}
	if key, ok := window(0); !ok || key != "a" {
		t.Error("key not counted as cool after 30 windows")
	}
}

func BenchmarkHotKeysObserve(b *testing.B) {
	h := handover.NewHotKeys()
	keys := make([]string, 1000)
	for i := range keys {
		keys[i] = fmt.Sprint("key-", i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		h.Observe(keys[i%len(keys)], uint64(i))
		i++
	}
}
