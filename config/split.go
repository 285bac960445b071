package config

import (
	"bytes"

	"github.com/tailscale/hujson"
)

// Split cuts the operators' file at the start of each element of "services", so
// that a change of one service changes few of the sections. The sections alias
// data; joined, they equal data byte for byte. Text that is not an operators' file
// is returned as one section.
func Split(data []byte) [][]byte {
	d := newDocument("", data)
	if len(d.problems) > 0 {
		return [][]byte{data}
	}
	services := d.root.Find("/services")
	if services == nil {
		return [][]byte{data}
	}
	array, ok := services.Value.(*hujson.Array)
	if !ok {
		return [][]byte{data}
	}
	sections := make([][]byte, 0, len(array.Elements)+1)
	start := 0
	for i := range array.Elements {
		end := array.Elements[i].StartOffset
		sections = append(sections, data[start:end:end])
		start = end
	}
	return append(sections, data[start:])
}

// Join concatenates the sections that Split returned.
func Join(sections [][]byte) []byte {
	return bytes.Join(sections, nil)
}
