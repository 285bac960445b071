package admission

import "time"

// maxRecords bounds the kinds, and the teams, for which an overloadPolicy keeps a record
// each. Further ones share a record until others have been unused for servedSeconds.
const maxRecords = 512

// records holds a record for each kind or team.
type records[T any] struct {
	byName map[string]*T
	other  T
	// sweptAt is the second in which unused records were last looked for: once a second,
	// since names may come from callers and each search visits all records.
	sweptAt int64
}

func newRecords[T any]() records[T] {
	return records[T]{byName: make(map[string]*T)}
}

// find returns the record of a name, or the shared one if there are too many.
func (r *records[T]) find(name string, now time.Time, unused func(*T) bool) *T {
	if record, ok := r.byName[name]; ok {
		return record
	}
	if len(r.byName) >= maxRecords {
		if r.sweptAt != now.Unix() {
			r.sweptAt = now.Unix()
			r.removeIf(unused)
		}
		if len(r.byName) >= maxRecords {
			return &r.other
		}
	}
	record := new(T)
	r.byName[name] = record
	return record
}

func (r *records[T]) removeIf(unused func(*T) bool) {
	for name, record := range r.byName {
		if unused(record) {
			delete(r.byName, name)
		}
	}
}
