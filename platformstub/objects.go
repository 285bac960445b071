package platformstub

import (
	"bytes"
	"slices"
)

// objects holds the objects by name.
type objects struct {
	data  map[string][]byte
	names []string
}

func newObjects() objects {
	return objects{data: make(map[string][]byte)}
}

// put stores data unless the name exists, and reports whether the object then has that
// content.
func (o *objects) put(name string, data []byte) bool {
	if old, ok := o.data[name]; ok {
		return bytes.Equal(old, data)
	}
	o.data[name] = slices.Clone(data)
	o.names = insertSorted(o.names, name)
	return true
}

func (o *objects) get(name string) ([]byte, bool) {
	data, ok := o.data[name]
	return slices.Clone(data), ok
}
