package routes

import "fulmarrun/wire"

// historySize is the number of deltas that a View keeps.
const historySize = 512

// history holds the latest deltas of a View.
type history struct {
	deltas []wire.Delta
	next   int
}

func (h *history) add(d wire.Delta) {
	if len(h.deltas) < historySize {
		h.deltas = append(h.deltas, d)
		return
	}
	h.deltas[h.next] = d
	h.next = (h.next + 1) % historySize
}

// chain returns the deltas from one version of a row to a later one, in order; nil if
// one of them is no longer kept.
func (h *history) chain(key string, from, to uint64) []wire.Delta {
	var out []wire.Delta
	for to != from {
		d := h.find(key, to)
		if d == nil {
			return nil
		}
		out = append([]wire.Delta{*d}, out...)
		to = d.BaseVersion
	}
	return out
}

func (h *history) find(key string, version uint64) *wire.Delta {
	for i := range h.deltas {
		if d := &h.deltas[i]; d.Version == version && d.Key == key {
			return d
		}
	}
	return nil
}

// UpdatesSince returns the updates that bring a daemon with the given versions to the
// versions of the view: deltas where they are kept and shorter than the row,
// otherwise complete rows.
func (v *View) UpdatesSince(have []wire.Version) (rows []wire.Row, deltas []wire.Delta) {
	for _, h := range have {
		e, ok := v.rows[h.Key]
		if !ok || e.row.Version <= h.Version {
			continue
		}
		chain := v.history.chain(h.Key, h.Version, e.row.Version)
		if chain == nil || sizeOf(chain) >= len(e.row.Value) {
			rows = append(rows, e.row)
			continue
		}
		deltas = append(deltas, chain...)
	}
	return rows, deltas
}

// sizeOf returns the approximate size of deltas in a frame, in bytes.
func sizeOf(deltas []wire.Delta) int {
	const perDelta, perEdit = 20, 5
	n := 0
	for _, d := range deltas {
		n += perDelta + len(d.Key)
		for _, e := range d.Edits {
			n += perEdit + len(e.Insert)
		}
	}
	return n
}
