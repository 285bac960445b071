package platformstub

import (
	"slices"
	"sort"
	"strings"

	"fulmarrun/storage"
)

// table holds the rows and their revision counter.
type table struct {
	revision uint64
	rows     map[string]storage.Row
	keys     []string
}

func newTable() table {
	return table{rows: make(map[string]storage.Row)}
}

func (t *table) get(key string) (storage.Row, bool) {
	row, ok := t.rows[key]
	row.Value = slices.Clone(row.Value)
	return row, ok
}

func (t *table) list(prefix, after string, limit int) []storage.Row {
	names := page(t.keys, prefix, after, limit)
	rows := make([]storage.Row, 0, len(names))
	for _, key := range names {
		row, _ := t.get(key)
		rows = append(rows, row)
	}
	return rows
}

// transact applies tx if all of its conditions hold.
func (t *table) transact(tx storage.Transaction) storage.Result {
	result := storage.Result{Applied: t.conditionsHold(tx.Conditions)}
	if result.Applied {
		t.apply(tx.Writes)
	}
	for _, key := range distinctKeys(tx) {
		row, ok := t.get(key)
		if !ok {
			row = storage.Row{Key: key}
		}
		result.Rows = append(result.Rows, row)
	}
	return result
}

func (t *table) conditionsHold(conditions []storage.Condition) bool {
	for _, c := range conditions {
		if t.rows[c.Key].Version != c.Version {
			return false
		}
	}
	return true
}

func (t *table) apply(writes []storage.Write) {
	if len(writes) == 0 {
		return
	}
	t.revision++
	for _, w := range writes {
		if w.Delete {
			delete(t.rows, w.Key)
			t.keys = removeSorted(t.keys, w.Key)
			continue
		}
		t.rows[w.Key] = storage.Row{Key: w.Key, Version: t.revision, Value: slices.Clone(w.Value)}
		t.keys = insertSorted(t.keys, w.Key)
	}
}

// distinctKeys returns the distinct keys of tx in the order of their first
// occurrence.
func distinctKeys(tx storage.Transaction) []string {
	keys := make([]string, 0, len(tx.Conditions)+len(tx.Writes))
	seen := make(map[string]struct{}, cap(keys))
	add := func(key string) {
		if _, ok := seen[key]; !ok {
			seen[key] = struct{}{}
			keys = append(keys, key)
		}
	}
	for _, c := range tx.Conditions {
		add(c.Key)
	}
	for _, w := range tx.Writes {
		add(w.Key)
	}
	return keys
}

// page returns up to limit of the sorted names that start with prefix and are
// greater than after.
func page(names []string, prefix, after string, limit int) []string {
	start := sort.SearchStrings(names, prefix)
	if after >= prefix {
		start = sort.Search(len(names), func(i int) bool { return names[i] > after })
	}
	end := start
	for end < len(names) && end-start < limit && strings.HasPrefix(names[end], prefix) {
		end++
	}
	return slices.Clone(names[start:end])
}

// insertSorted inserts name into the sorted names unless they contain it.
func insertSorted(names []string, name string) []string {
	i, found := slices.BinarySearch(names, name)
	if found {
		return names
	}
	return slices.Insert(names, i, name)
}

// removeSorted removes name from the sorted names.
func removeSorted(names []string, name string) []string {
	i, found := slices.BinarySearch(names, name)
	if !found {
		return names
	}
	return slices.Delete(names, i, i+1)
}
