package targetstub

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

// maxGrantBytes limits the size of the body of POST /grant.
const maxGrantBytes = 1 << 20

// grants holds the latest unexpired grant of each generation.
type grants struct {
	latest []targethttp.Grant
}

// apply replaces or renews the grant of a generation and returns the number of the
// resulting grant. A grant never ends earlier than the previous one with the same
// lists, and an older list never replaces a newer one.
func (g *grants) apply(now targethttp.Stamp, next targethttp.Grant) uint64 {
	g.latest = slices.DeleteFunc(g.latest, func(h targethttp.Grant) bool {
		return h.Until <= now && h.Generation != next.Generation
	})
	for i := range g.latest {
		h := &g.latest[i]
		if h.Generation != next.Generation {
			continue
		}
		switch {
		case next.Full && next.Number > h.Number:
			*h = next
		case next.Number == h.Number:
			h.Until = max(h.Until, next.Until)
		}
		return h.Number
	}
	if !next.Full {
		return 0
	}
	g.latest = append(g.latest, next)
	return next.Number
}

// check returns the reason why a request with the given headers may not run, or "" if it
// may. A request without an epoch belongs to an unkeyed service.
func (g *grants) check(now targethttp.Stamp, h http.Header) string {
	if h.Get(targethttp.HeaderEpoch) == "" {
		return ""
	}
	epoch, err1 := strconv.ParseUint(h.Get(targethttp.HeaderEpoch), 10, 64)
	slot, err2 := strconv.ParseUint(h.Get(targethttp.HeaderSlot), 10, 32)
	generation, err3 := strconv.ParseUint(h.Get(targethttp.HeaderGeneration), 10, 64)
	key, err4 := url.PathUnescape(h.Get(targethttp.HeaderKey))
	if err1 != nil || err2 != nil || err3 != nil || err4 != nil {
		return "malformed"
	}
	reason := "none"
	for _, grant := range g.latest {
		granted := grantedEpoch(grant, uint32(slot), key)
		switch {
		case granted > epoch:
			return "epoch"
		case grant.Generation != wire.Generation(generation):
		case grant.Until <= now:
			reason = "expired"
		case granted != epoch:
			reason = "epoch"
		default:
			reason = ""
		}
	}
	return reason
}

// grantedEpoch returns the epoch that g grants for a key in a slot, or zero if it grants
// none.
func grantedEpoch(g targethttp.Grant, slot uint32, key string) uint64 {
	for _, h := range g.Hot {
		if key != "" && h.Key == key {
			return h.Epoch
		}
	}
	for _, s := range g.Slots {
		if s.From <= slot && slot <= s.To {
			return s.Epoch
		}
	}
	return 0
}

func (s *Stub) serveGrant(w http.ResponseWriter, r *http.Request) {
	var next targethttp.Grant
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGrantBytes)).Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	now := s.stamp()
	reply := targethttp.GrantReply{Generation: next.Generation, Number: s.grants.apply(now, next), Stamp: now}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, reply)
}
